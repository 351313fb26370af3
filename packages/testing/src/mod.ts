/** Parts that only tests use. */
export { default as SummaryFormatter } from "./summary/mod.ts";
export { FaultLink } from "./fault_link/mod.ts";
