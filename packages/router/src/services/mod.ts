/** Calls of plain services. */
export * from "./handle_service.ts";
