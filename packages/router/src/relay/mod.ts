/** Relays requests to runners and their answers to callers. */
export * from "./send_request.ts";
