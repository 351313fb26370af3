/** Checks declarations and process settings before they are used. */
export * from "./check_documents.ts";
export * from "./compare_in_force.ts";
export * from "./document_kind.ts";
export * from "./fleet_names.ts";
export * from "./report_check.ts";
