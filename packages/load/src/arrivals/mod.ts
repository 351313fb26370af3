/** Seeded arrivals: due times and contents do not depend on answers. */
export * from "./arrivals.ts";
export * from "./merge_arrivals.ts";
