/**
 * Admission control of one runner: queue, concurrency limit, load cap and fair
 * shares.
 */
export * from "./admission.ts";
export * from "./concurrency_limit.ts";
export * from "./fair_queue.ts";
export * from "./load_cap.ts";
export * from "./types.ts";
