/** Results of commands and their output as JSON or text. */
export * from "./result.ts";
export * from "./table.ts";
