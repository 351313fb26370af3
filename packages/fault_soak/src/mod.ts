/** Runs the real programs as processes and injects faults from outside. */
export * from "./answer_framing.ts";
export * from "./check_history.ts";
export * from "./coverage.ts";
export * from "./episode_switches.ts";
export * from "./fleet_checks.ts";
export * from "./failure_domains.ts";
export * from "./fault_kinds.ts";
export * from "./faults.ts";
export * from "./history.ts";
export * from "./ports.ts";
export * from "./run_episode.ts";
export * from "./run_fault_soak.ts";
export * from "./prompts.ts";
export * from "./scripted_answers.ts";
export * from "./soak_runner.ts";
export * from "./wire.ts";
export * from "./violation.ts";
