/** The timer service that all parts subscribe to. */
export * from "./timer_service.ts";
export * from "./virtual_timer_service.ts";
export * from "./wait.ts";
