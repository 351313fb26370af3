/** Traces one request through the logs of several processes. */
export * from "./report_trace.ts";
export * from "./trace_request.ts";
