/** Long randomised runs of the decision code in virtual time. */
export * from "./episode.ts";
export * from "./faults.ts";
export * from "./soak.ts";
