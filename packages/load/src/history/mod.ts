/** Histories of concurrent runs and their checker. */
export * from "./check_history.ts";
export * from "./events.ts";
export * from "./history_index.ts";
export * from "./history_writer.ts";
export * from "./parse_history.ts";
export * from "./violations.ts";
