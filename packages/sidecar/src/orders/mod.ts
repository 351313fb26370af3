/** Forwards orders to the runner and refuses those of an older lease. */
export * from "./order_gate.ts";
