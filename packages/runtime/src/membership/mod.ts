/** What a process knows of the others, and how it tells them of itself. */
export * from "./datagrams.ts";
export * from "./host_list.ts";
export * from "./membership.ts";
export * from "./read_budget.ts";
