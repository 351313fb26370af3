/**
 * What gateways tell each other while the store turns one of them away, and
 * operators at any time.
 */
export * from "./ask_gateway.ts";
export * from "./peer_follower.ts";
export * from "./peer_handler.ts";
export * from "./peer_news.ts";
export * from "./peer_registry.ts";
