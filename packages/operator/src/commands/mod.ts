/** The commands of the operator's program. */
export * from "./program.ts";
