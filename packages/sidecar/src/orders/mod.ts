/** Orders to the runner, refused when decided under an older lease. */
export * from "./order_gate.ts";
