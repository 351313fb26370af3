/**
 * Membership of routers and sidecars: liveness, leaving and load of each member,
 * exchanged by gossip of digests.
 */
export * from "./answer_record.ts";
export * from "./budget.ts";
export * from "./codec.ts";
export * from "./damping.ts";
export * from "./gossip_state.ts";
export * from "./identity.ts";
export * from "./live_set.ts";
export * from "./merge.ts";
export * from "./own_record.ts";
export * from "./pool_mean.ts";
export * from "./receive_digest.ts";
export * from "./record.ts";
export * from "./schemes.ts";
export * from "./send_digests.ts";
export * from "./tables.ts";
