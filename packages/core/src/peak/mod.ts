/** Lowers the busiest minute by holding back deferrable requests. */
export * from "./minute_meter.ts";
export * from "./peak_hold.ts";
export * from "./peak_gate.ts";
