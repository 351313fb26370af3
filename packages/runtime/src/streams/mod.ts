/** Collecting and parsing of streams and detection of silent connections. */
export * from "./byte_collector.ts";
export * from "./event_cutter.ts";
export * from "./event_tracker.ts";
export * from "./silence_watch.ts";
export * from "./subscribe_abort.ts";
