/**
 * Publishes, loads and follows the operators' configuration, and holds the
 * current version of a process.
 */
export * from "./configuration_follower.ts";
export * from "./configuration_holder.ts";
export * from "./load_accepted.ts";
export * from "./objects.ts";
export * from "./publish.ts";
export * from "./rewrite_accepted.ts";
export * from "./effective_settings.ts";
