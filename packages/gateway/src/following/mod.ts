/** Copies of objects in the platform's store, updated by watching it. */
export * from "./object_follower.ts";
export * from "./object_source.ts";
