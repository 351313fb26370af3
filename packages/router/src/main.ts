import { productVersion } from "@jasminetide/core";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createLogger } from "@jasminetide/runtime/logging";
import { runProgram } from "@jasminetide/runtime/process";
import { loadSettings } from "@jasminetide/runtime/settings";
import { command, option, run, string } from "cmd-ts";
import process from "node:process";
import { Router } from "./router.ts";
import { routerSettingsSchema } from "./settings.ts";

const program = command({
  name: "jasminetide-router",
  version: productVersion,
  description: "Takes requests of callers and brings them to runners.",
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
      const settings = await loadSettings(file, routerSettingsSchema);
      return Router.create({
        settings,
        timers: RealTimerService.create(),
        logger: createLogger({
          process: settings.name,
          level: settings.logLevel,
        }),
      });
    }, createLogger({ process: "jasminetide-router" })),
});

await run(program, process.argv.slice(2));
