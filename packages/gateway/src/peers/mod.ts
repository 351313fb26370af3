/**
 * State that gateways fetch from each other while the store does not answer
 * one of them, and operators' queries to gateways.
 */
export * from "./gateway_client.ts";
export * from "./peer_poller.ts";
export * from "./peer_handler.ts";
export * from "./gateway_state.ts";
export * from "./peer_registry.ts";
