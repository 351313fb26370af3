/** Leases of duties that one router at a time holds for the whole fleet. */
export * from "./lease_manager.ts";
export * from "./fetch_fencing_number.ts";
