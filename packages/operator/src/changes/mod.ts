/** Differences between two versions of a document, and who is affected. */
export * from "./affected.ts";
export * from "./affected_by_declaration.ts";
export * from "./compare.ts";
export * from "./compare_order.ts";
export * from "./compare_routes.ts";
export * from "./format_changes.ts";
