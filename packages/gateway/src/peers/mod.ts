/** What gateways tell each other while the store turns one of them away. */
export * from "./peer_follower.ts";
export * from "./peer_news.ts";
export * from "./peer_registry.ts";
