/** The timer service, the single source of time in a process. */
export * from "./timer_service.ts";
export * from "./virtual_timer_service.ts";
export * from "./wait.ts";
