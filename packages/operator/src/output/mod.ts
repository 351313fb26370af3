/** What commands give back and how it is written. */
export * from "./result.ts";
export * from "./table.ts";
