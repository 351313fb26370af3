/** Load and health of the runners of a service, and the choice among them. */
export * from "./admit_call.ts";
export * from "./capacity_forecast.ts";
export * from "./choose_runner.ts";
export * from "./prefix_holders.ts";
export * from "./restored_record.ts";
export * from "./runner_availability.ts";
export * from "./runner_health.ts";
export * from "./runner_load.ts";
export * from "./service_time.ts";
export * from "./windowed_retry_budget.ts";
