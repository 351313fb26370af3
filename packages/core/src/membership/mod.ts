/** What is live, leaving and loaded, and how processes tell each other. */
export * from "./answer_record.ts";
export * from "./budget.ts";
export * from "./codec.ts";
export * from "./damping.ts";
export * from "./identity.ts";
export * from "./live_set.ts";
export * from "./merge.ts";
export * from "./own_record.ts";
export * from "./pool_mean.ts";
export * from "./receiving.ts";
export * from "./record.ts";
export * from "./schemes.ts";
export * from "./spreader.ts";
export * from "./spreading.ts";
export * from "./tables.ts";
