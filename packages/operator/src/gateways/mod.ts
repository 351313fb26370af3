/** Status of gateways and explanations of how they handle a request. */
export * from "./load_gateway_status.ts";
export * from "./report_gateway_status.ts";
export * from "./report_request_explanation.ts";
