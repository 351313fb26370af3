/** Leases of duties, and fencing of orders issued under them. */
export * from "./duty_table.ts";
export * from "./fenced_orders.ts";
export * from "./fencing.ts";
export * from "./fencing_number.ts";
export * from "./lease.ts";
export * from "./orders.ts";
export * from "./update_leases.ts";
