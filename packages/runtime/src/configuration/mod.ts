/** The configuration in force in one process. */
export * from "./configuration_holder.ts";
export * from "./configuration_watcher.ts";
export * from "./effective_settings.ts";
