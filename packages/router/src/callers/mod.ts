/** Who calls, and how long the call may take. */
export * from "./authenticate.ts";
export * from "./caller_settings.ts";
export * from "./deadline.ts";
