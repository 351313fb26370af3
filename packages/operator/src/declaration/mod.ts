/** Reads declarations from files and the platform, and stores them. */
export * from "./declaration_file.ts";
export * from "./declaration_store.ts";
