/** Lookup of routes by host and path prefix, and workspaces by API key. */
export * from "./route_table.ts";
export * from "./types.ts";
