/** The declaration in a file and in the platform. */
export * from "./declaration_file.ts";
export * from "./declaration_store.ts";
