/** Start and graceful end of a program. */
export * from "./daemon.ts";
export * from "./run_program.ts";
