/** Reports the current version of each process. */
export * from "./load_status.ts";
export * from "./report_status.ts";
