/** What a router knows of the runners. */
export * from "./runner_directory.ts";
