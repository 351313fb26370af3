/**
 * Which software version of a service began a stream, and which may have begun
 * one that nothing is known of. What two versions write does not fit together.
 * Decisions are pure; time is an argument.
 */
export * from "./stream_origins.ts";
export * from "./version_history.ts";
export * from "./write_period.ts";
