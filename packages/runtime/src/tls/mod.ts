/** Mutual TLS between processes. */
export * from "./check_peer.ts";
export * from "./peer_credentials.ts";
