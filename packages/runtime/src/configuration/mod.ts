/** The configuration in force in one process, and how it gets there. */
export * from "./configuration_follower.ts";
export * from "./configuration_holder.ts";
export * from "./load_accepted.ts";
export * from "./objects.ts";
export * from "./publish.ts";
export * from "./effective_settings.ts";
