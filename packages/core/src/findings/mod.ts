/** What operators should look at in documents that have no faults. */
export * from "./configuration_findings.ts";
export { canMatchTogether } from "./exception_findings.ts";
export * from "./finding.ts";
export * from "./gateway_findings.ts";
export * from "./route_findings.ts";
export * from "./runner_findings.ts";
