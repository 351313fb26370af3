/** Long randomised runs of the decision code under faults, in virtual time. */
export * from "./episode.ts";
export * from "./faults.ts";
export * from "./soak.ts";
