/** Lookup of routes by host and path prefix, and workspaces by API key. */
export * from "./normalize_host.ts";
export * from "./route_table.ts";
export * from "./schema.ts";
export * from "./types.ts";
