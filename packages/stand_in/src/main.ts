import process from "node:process";
import { productVersion } from "@jasminetide/core";
import type { ListeningServer } from "@jasminetide/runtime/http";
import { createLogger } from "@jasminetide/runtime/logging";
import { runProgram } from "@jasminetide/runtime/process";
import { loadSettings } from "@jasminetide/runtime/settings";
import { command, option, run, string, subcommands } from "cmd-ts";
import type { z } from "zod";
import {
  engineSettingsSchema,
  platformSettingsSchema,
  serviceSettingsSchema,
} from "./main_settings.ts";
import { startEngine, startPlatform, startService } from "./programs.ts";

const name = "jasminetide-stand-in";

const exitCodeHelp = "Exit codes: 0 stopped by a signal; 1 cannot start, " +
  "because of the command line, the settings or the address";

/** A subcommand with its settings schema and the server that it starts. */
type StandInProgram<Schema extends z.ZodType> = {
  name: string;
  description: string;
  schema: Schema;
  start: (settings: z.output<Schema>) => Promise<ListeningServer>;
};

function createCommand<Schema extends z.ZodType>(
  program: StandInProgram<Schema>,
) {
  const logger = createLogger({ process: `${name}-${program.name}` });
  return command({
    name: program.name,
    version: productVersion,
    description: `${program.description}. ${exitCodeHelp}`,
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
        const settings = await loadSettings(file, program.schema);
        const server = await program.start(settings);
        logger.info("ready", { address: server.address });
        return server;
      }, logger),
  });
}

const program = subcommands({
  name,
  version: productVersion,
  description: "Small stand-ins for external systems, for tests on loopback",
  cmds: {
    platform: createCommand({
      name: "platform",
      description: "Object API and host list with rates, lag and faults",
      schema: platformSettingsSchema,
      start: startPlatform,
    }),
    engine: createCommand({
      name: "engine",
      description: "Model engine with batching, a prefix cache and faults",
      schema: engineSettingsSchema,
      start: startEngine,
    }),
    service: createCommand({
      name: "service",
      description: "Plain service that moves money, with faults",
      schema: serviceSettingsSchema,
      start: startService,
    }),
  },
});

await run(program, process.argv.slice(2));
