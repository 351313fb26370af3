/** Positions and epochs of the platform's store. */
export * from "./position.ts";
export * from "./store_epoch.ts";
export * from "./version_number.ts";
