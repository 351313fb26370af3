/** Leases of duties that one router at a time holds for the whole fleet. */
export * from "./lease_keeper.ts";
export * from "./fetch_fencing_number.ts";
