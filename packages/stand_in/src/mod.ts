/** Small stand-ins for the external systems that the fleet uses. */
export * from "./engine/mod.ts";
export * from "./host_list/mod.ts";
export * from "./object_api/mod.ts";
export * from "./platform_server.ts";
export * from "./service/mod.ts";
export * from "./settings.ts";
