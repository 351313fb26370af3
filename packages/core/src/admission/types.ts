import type { Settings } from "../configuration/mod.ts";
import type { TimerService } from "../timers/mod.ts";

/** Attributes of a request by which it is admitted and queued. */
export type AdmissionRequest = {
  workspace: string;
  /** Priority of the request's class; a lower number is served first. */
  priority: number;
  /** Weight of the workspace within its class. */
  weight: number;
  /** Estimated cost in weighted tokens. */
  costTokens: number;
  /** Time by which the request has to be answered. */
  deadlineAtMs: number;
};

/** Mean load of a pool, from the records that one sidecar has received. */
export type MeanLoad = {
  /** Mean load in weighted tokens per unit of relative capacity. */
  tokens: number;
  /** Age of the oldest record in the mean. */
  ageMs: number;
  /** Largest overestimate of the mean while all records are fresh. */
  errorTokens: number;
  /** Number of runners in the mean, including this one. */
  runners: number;
  /** Number of runners left out of the mean because their records are stale. */
  staleRunners: number;
};

/** Settings of admission, read at each decision. */
export type AdmissionSettings = Pick<
  Settings,
  "load" | "admission" | "membership"
>;

/** Options of the admission controller of one runner. */
export type AdmissionOptions = {
  getSettings: () => AdmissionSettings;
  /** Relative capacity of the runner; a standard runner has 1. */
  capacity: number;
  getMeanLoad: () => MeanLoad;
  timers: TimerService;
  /** Whether each workspace is limited to its share of the slots; default true. */
  sharesSlots?: boolean;
};

/** Receives measurements from a running task. */
export type TaskObserver = {
  /** Records that `count` tokens of the answer have arrived. */
  observeTokens(count: number): void;
};

/** Task that runs once its request is admitted. */
export type AdmissionTask<Result> = (
  observer: TaskObserver,
) => Promise<Result>;
