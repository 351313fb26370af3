import type { Settings } from "../configuration/mod.ts";
import type { TimerService } from "../timers/mod.ts";

/** What admission reads of a request. */
export type AdmissionRequest = {
  workspace: string;
  /** Lower is served first. */
  priority: number;
  /** Share of the workspace inside its class. */
  weight: number;
  /** Estimated work in weighted tokens. */
  costTokens: number;
  /** Time by which the request has to be answered. */
  deadlineAtMs: number;
};

/** Mean load of a pool as one sidecar knows it. */
export type MeanLoad = {
  /** Mean load in weighted tokens for a capacity of 1. */
  tokens: number;
  /** Age of the oldest record in the mean. */
  ageMs: number;
  /** Most by which the mean may be too high while all records are fresh. */
  errorTokens: number;
  /** Runners in the mean, this one included. */
  runners: number;
  /** Runners left out of the mean because their records are too old. */
  staleRunners: number;
};

/** Settings that admission reads at each decision. */
export type AdmissionSettings = Pick<
  Settings,
  "load" | "admission" | "membership"
>;

/** Limits and inputs of admission. */
export type AdmissionOptions = {
  getSettings: () => AdmissionSettings;
  /** Relative capacity of the runner; 1 is an ordinary runner. */
  capacity: number;
  getMeanLoad: () => MeanLoad;
  timers: TimerService;
  /** Whether workspaces are kept to shares of the slots; true by default. */
  sharesSlots?: boolean;
};

/** Takes in what a running task sees of its runner. */
export type TaskObserver = {
  /** Called as tokens of a stream arrive. */
  observeTokens(count: number): void;
};

/** Work that runs once it is admitted. */
export type AdmissionTask<Result> = (
  observer: TaskObserver,
) => Promise<Result>;
