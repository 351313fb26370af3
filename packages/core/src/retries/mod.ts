/** Retry budget, backoff, hedging, circuit breaker and silence limits. */
export * from "./backoff.ts";
export * from "./circuit_breaker.ts";
export * from "./latency_tracker.ts";
export * from "./limits.ts";
export * from "./retry_budget.ts";
