/** HTTP servers, request bodies and JSON answers. */
export * from "./caller_leaving.ts";
export * from "./collect_body.ts";
export * from "./json.ts";
export * from "./read_pacer.ts";
export * from "./send_request.ts";
export * from "./server.ts";
