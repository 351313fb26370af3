/** Commands of the operator's command line. */
export * from "./program.ts";
