/** HTTP servers, request bodies and JSON answers. */
export * from "./caller_leaving.ts";
export * from "./json.ts";
export * from "./send_request.ts";
export * from "./server.ts";
