/** Runs the requests of routers at the runner and buffers the answers. */
export * from "./attempt_store.ts";
export * from "./handle_request.ts";
