/** Measurements of admission and of holding back, in virtual time. */
export * from "./busiest_minute.ts";
export * from "./overload.ts";
export * from "./surge.ts";
