/** A router without sidecars, which forwards requests by declared routes. */
export * from "./gateway.ts";
export * from "./gateway_metrics.ts";
export * from "./protocol.ts";
export * from "./settings.ts";
export * from "./settings_follower.ts";
