/** Declared routes by host name and path prefix, and keys by workspace. */
export * from "./route_table.ts";
export * from "./types.ts";
