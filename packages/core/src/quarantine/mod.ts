/**
 * Quarantine of requests that crash each runner that runs them, and of prompt
 * parts that crash each runner that begins to answer a prompt with them.
 * Decisions are pure; time is an argument.
 */
export * from "./crash_table.ts";
export * from "./evidence.ts";
export * from "./crash_quarantine.ts";
export * from "./quarantine_trials.ts";
export type * from "./quarantined_part.ts";
export * from "./request_key.ts";
