/** Entities that the decision code keeps in tables. */
export * from "./ids.ts";
export * from "./runner.ts";
export * from "./table.ts";
