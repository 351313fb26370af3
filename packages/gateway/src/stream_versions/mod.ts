/** Lets streams go on only at the software version that began them. */
export * from "./stream_registry.ts";
export * from "./stream_versions.ts";
