/** Checks declarations and process settings before they are used. */
export * from "./check_documents.ts";
export * from "./fleet_names.ts";
export * from "./report_check.ts";
