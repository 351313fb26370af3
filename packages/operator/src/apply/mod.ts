/** Plans and applies declarations, and detects conflicting edits. */
export * from "./apply_declaration.ts";
export * from "./base_file.ts";
export * from "./plan_declaration.ts";
export * from "./report_apply.ts";
