/** Membership of one process: its member tables, host list and gossip. */
export * from "./datagrams.ts";
export * from "./host_list.ts";
export * from "./membership.ts";
export * from "./read_budget.ts";
