/** The timer service under a real clock. */
export * from "./real_timer_service.ts";
