/** Failure domains whose runners get nothing for a time. */
export * from "./evacuation.ts";
