/** Resolves the connection to a fleet and queries its processes. */
export * from "./operator_client.ts";
export * from "./profile.ts";
