/** Start and graceful shutdown of programs. */
export * from "./daemon.ts";
export * from "./run_program.ts";
