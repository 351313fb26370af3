/** Which version each process has in force. */
export * from "./load_status.ts";
export * from "./report_status.ts";
