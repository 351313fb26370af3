/** When requests are due, drawn from a seed before anything is sent. */
export * from "./arrivals.ts";
export * from "./merge_arrivals.ts";
