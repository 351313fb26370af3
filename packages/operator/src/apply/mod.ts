/** Makes a declaration the one in force. */
export * from "./apply_declaration.ts";
export * from "./base_file.ts";
export * from "./plan_declaration.ts";
export * from "./report_apply.ts";
