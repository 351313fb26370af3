/** Limits that all routers share: quotas of workspaces, limits of runners. */
export * from "./cold_limit.ts";
export * from "./held_connections.ts";
export * from "./limit_share.ts";
export * from "./memory_budget.ts";
export * from "./quota.ts";
export * from "./quota_bucket.ts";
export * from "./quota_holder.ts";
export * from "./quota_owner.ts";
export * from "./stated_limit.ts";
