/** HTTP servers and answers. */
export * from "./server.ts";
