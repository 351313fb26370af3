/** Structured logs, one JSON object a line. */
import process from "node:process";
import winston from "winston";

/** Fields of a log line; never bodies, keys or secrets. */
export type LogFields = {
  [name: string]: string | number | boolean | null | undefined;
};

/** Levels in order of weight. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Writes one line an event. */
export type Logger = {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
};

/** What a process says of itself on each line. */
export type LoggerOptions = { process: string; level?: LogLevel };

/**
 * Lines that wait while nobody reads standard output; what comes beyond is
 * counted, since it would fill the memory.
 */
const maxBufferedBytes = 262_144;

/**
 * Creates a logger that writes JSON lines to standard output. It never waits
 * for a reader: it drops lines, and counts them in the next one that it writes.
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
