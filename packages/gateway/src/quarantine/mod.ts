/**
 * Keeps prompts that crash runners from them: finds crashes, shares them with
 * the other gateways and refuses the prompts.
 */
export * from "./crash_probe.ts";
export * from "./evidence_delivery.ts";
export * from "./crash_guard.ts";
export * from "./quarantine_error.ts";
export * from "./request_trials.ts";
export * from "./suspect_request.ts";
