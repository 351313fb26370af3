/** What gateways say of themselves and of a request. */
export * from "./load_gateway_status.ts";
export * from "./report_gateway_status.ts";
export * from "./report_request.ts";
