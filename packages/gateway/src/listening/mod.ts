/** Servers for callers, the load balancer, other gateways and operators. */
export * from "./caller_listener.ts";
export * from "./connection_guard.ts";
export * from "./control_listener.ts";
export * from "./format_metrics.ts";
export * from "./readiness_listener.ts";
export * from "./wait_for_close.ts";
