/**
 * State that gateways take from each other, so that few of them call the store
 * and all know its changes while it does not answer them, and operators'
 * queries to gateways.
 */
export * from "./evidence_schema.ts";
export * from "./gateway_client.ts";
export * from "./gateway_registration.ts";
export * from "./host_capacity.ts";
export * from "./news.ts";
export * from "./news_connection.ts";
export * from "./news_follower.ts";
export * from "./news_limits.ts";
export * from "./news_publisher.ts";
export * from "./peer_delivery.ts";
export * from "./peer_poller.ts";
export * from "./peer_handler.ts";
export * from "./gateway_state.ts";
export * from "./peer_registry.ts";
