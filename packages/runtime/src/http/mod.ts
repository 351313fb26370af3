/** HTTP servers and answers. */
export * from "./json.ts";
export * from "./server.ts";
