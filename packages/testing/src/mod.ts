/** Utilities for tests. */
export { default as SummaryFormatter } from "./summary/mod.ts";
export { FaultLink } from "./fault_link/mod.ts";
export { MemoryPeak } from "./memory_peak/mod.ts";
