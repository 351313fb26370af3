import { productVersion } from "@jasminetide/core";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createLogger } from "@jasminetide/runtime/logging";
import { runProgram } from "@jasminetide/runtime/process";
import { loadSettings } from "@jasminetide/runtime/settings";
import { command, option, run, string } from "cmd-ts";
import process from "node:process";
import { sidecarSettingsSchema } from "./settings.ts";
import { Sidecar } from "./sidecar.ts";

const program = command({
  name: "jasminetide-sidecar",
  version: productVersion,
  description: "Runs beside one runner; all its traffic passes here.",
  args: {
    settings: option({
      type: string,
      long: "settings",
      short: "s",
      description: "Settings file, JSON with comments",
    }),
  },
  handler: ({ settings: file }) =>
    runProgram(async () => {
      const settings = await loadSettings(file, sidecarSettingsSchema);
      return Sidecar.create({
        settings,
        timers: RealTimerService.create(),
        logger: createLogger({
          process: settings.name,
          level: settings.logLevel,
        }),
      });
    }, createLogger({ process: "jasminetide-sidecar" })),
});

await run(program, process.argv.slice(2));
