/** Structured logs, one JSON object per line. */
import process from "node:process";
import winston from "winston";

/** Fields of a log line; must not contain bodies, keys or secrets. */
export type LogFields = {
  [name: string]: string | number | boolean | null | undefined;
};

/** Log levels in order of decreasing severity. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Writes one line per event. */
export type Logger = {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
};

/** Process name on each line, and the lowest level that is logged. */
export type LoggerOptions = { process: string; level?: LogLevel };

/**
 * Buffered output above which lines are dropped and counted. Without a limit
 * the buffer would fill the memory while nobody reads standard output.
 */
const maxBufferedBytes = 262_144;

/**
 * Creates a logger that writes JSON lines to standard output. It never waits
 * for a slow reader: it drops lines, and logs their number before the next line
 * that it writes.
 */
export function createLogger(options: LoggerOptions): Logger {
  const logger = winston.createLogger({
    level: options.level ?? "info",
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [new winston.transports.Console()],
  });
  let dropped = 0;
  const log = (level: LogLevel, event: string, fields?: LogFields) => {
    const { process } = options;
    logger.log({ level, message: event, event, process, ...fields });
  };
  const write = (level: LogLevel) => (event: string, fields?: LogFields) => {
    if (process.stdout.writableLength > maxBufferedBytes) {
      dropped += 1;
      return;
    }
    if (dropped > 0) {
      log("warn", "lines-dropped", { count: dropped });
      dropped = 0;
    }
    log(level, event, fields);
  };
  return {
    error: write("error"),
    warn: write("warn"),
    info: write("info"),
    debug: write("debug"),
  };
}

/** Creates a logger that writes nothing, for tests. */
export function createSilentLogger(): Logger {
  const write = () => {};
  return { error: write, warn: write, info: write, debug: write };
}
