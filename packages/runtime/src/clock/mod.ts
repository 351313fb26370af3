/** The timer service of the real clock, and time limits of calls. */
export * from "./event_loop_load.ts";
export * from "./read_scheduler.ts";
export * from "./real_timer_service.ts";
export * from "./silence_limit.ts";
export * from "./stall_detector.ts";
export * from "./wait_for_reads.ts";
