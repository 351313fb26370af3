/** Parsing of event streams and detection of silent connections. */
export * from "./event_cutter.ts";
export * from "./event_tracker.ts";
export * from "./silence_watch.ts";
export * from "./subscribe_abort.ts";
