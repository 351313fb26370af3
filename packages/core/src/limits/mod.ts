/** Workspace quotas shared by all routers. */
export * from "./quota.ts";
export * from "./quota_holder.ts";
export * from "./quota_owner.ts";
