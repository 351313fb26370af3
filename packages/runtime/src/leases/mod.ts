/** Duties that one router holds for all, by leases in the platform. */
export * from "./lease_keeper.ts";
export * from "./learn_fencing_number.ts";
