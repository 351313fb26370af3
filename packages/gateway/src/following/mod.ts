/** Copies of what the platform's store holds, kept up by watching it. */
export * from "./object_follower.ts";
export * from "./object_source.ts";
