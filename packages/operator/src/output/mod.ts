/** Results of commands and their output as JSON or text. */
export * from "./process_output.ts";
export * from "./result.ts";
export * from "./table.ts";
