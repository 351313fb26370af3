/** The data path of a sidecar. */
export * from "./attempt_store.ts";
export * from "./handle_request.ts";
