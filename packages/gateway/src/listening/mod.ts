/** Servers for callers, the balancer, other gateways and operators' tools. */
export * from "./caller_listener.ts";
export * from "./control_listener.ts";
export * from "./format_metrics.ts";
export * from "./readiness_listener.ts";
