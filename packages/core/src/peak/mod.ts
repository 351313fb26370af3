/** Keeps the busiest minute low by holding back what may wait. */
export * from "./minute_meter.ts";
export * from "./peak_hold.ts";
export * from "./peak_gate.ts";
