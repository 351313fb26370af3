/** Gateways that know for the others which engines hold a prefix. */
export * from "./prefix_owners.ts";
