/** Structured logs, one JSON object a line. */
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

/** Creates a logger that writes JSON lines to standard output. */
export function createLogger(options: LoggerOptions): Logger {
  const logger = winston.createLogger({
    level: options.level ?? "info",
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [new winston.transports.Console()],
  });
  const write = (level: LogLevel) => (event: string, fields?: LogFields) => {
    logger.log({
      level,
      message: event,
      event,
      process: options.process,
      ...fields,
    });
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
