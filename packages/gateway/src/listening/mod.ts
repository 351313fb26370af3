/** Servers for callers and for the balancer's questions. */
export * from "./caller_listener.ts";
export * from "./readiness_listener.ts";
