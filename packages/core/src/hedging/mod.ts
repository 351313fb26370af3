/** Second attempts at late requests: when, where and how many. */
export * from "./hedge_budget.ts";
export * from "./hedge_policy.ts";
export * from "./select_hedge_runners.ts";
