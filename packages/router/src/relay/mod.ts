/** Passing requests on to runners and their answers back to callers. */
export * from "./send_request.ts";
