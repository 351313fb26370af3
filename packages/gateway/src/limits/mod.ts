/** Shares the limits that runners state with the other gateways. */
export * from "./limit_news.ts";
export * from "./limit_schema.ts";
