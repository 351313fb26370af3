/** Authentication, settings and deadlines of callers. */
export * from "./authenticate.ts";
export * from "./caller_settings.ts";
export * from "./deadline.ts";
