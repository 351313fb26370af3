/**
 * Measurements in virtual time of admission and of holding back deferrable
 * requests.
 */
export * from "./busiest_minute.ts";
export * from "./overload.ts";
export * from "./surge.ts";
