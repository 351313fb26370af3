import { setViolationHandler } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { command, option, string } from "cmd-ts";
import type * as z from "zod";
import { RealTimerService } from "../clock/mod.ts";
import { createLogger, type Logger, type LogLevel } from "../logging/mod.ts";
import { loadSettings } from "../settings/mod.ts";
import { type RunningProgram, runProgram } from "./run_program.ts";

/** Settings that all daemons share. */
export type DaemonSettings = { name: string; logLevel: LogLevel };

/** Settings and services passed to the start of a daemon. */
export type DaemonContext<Settings> = {
  settings: Settings;
  timers: TimerService;
  logger: Logger;
};

/** A program that runs until it receives SIGTERM or SIGINT. */
export type Daemon<Schema extends z.ZodType<DaemonSettings>> = {
  name: string;
  version: string;
  description: string;
  schema: Schema;
  start: (
    context: DaemonContext<z.output<Schema>>,
  ) => Promise<RunningProgram>;
};

/** Creates the command line of a daemon: `--settings FILE`. */
export function createDaemonCommand<Schema extends z.ZodType<DaemonSettings>>(
  daemon: Daemon<Schema>,
) {
  const { description, name, schema, start, version } = daemon;
  return command({
    name,
    version,
    description,
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
        const settings = await loadSettings(file, schema);
        const logger = createLogger({
          process: settings.name,
          level: settings.logLevel,
        });
        logViolations(logger);
        return start({ settings, timers: RealTimerService.create(), logger });
      }, createLogger({ process: name })),
  });
}

/**
 * Logs violated invariants instead of throwing; the dump reports their counts.
 */
export function logViolations(logger: Logger): Disposable {
  return setViolationHandler((invariant, detail) =>
    logger.error("invariant-violated", { invariant, detail })
  );
}
