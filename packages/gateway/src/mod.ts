/** A router that takes any request by declared routes, without sidecars. */
export * from "./gateway.ts";
export * from "./gateway_metrics.ts";
export * from "./protocol.ts";
export * from "./settings.ts";
export * from "./settings_follower.ts";
