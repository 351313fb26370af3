import { type Settings, settingsSchema } from "@jasminetide/core/configuration";

/** Size and behaviour of the measured fleet. */
export type Scenario = {
  seed: number;
  runners: number;
  routers: number;
  failureDomains: number;
  workspaces: number;
  /** Measured time, after the warm-up. */
  durationMs: number;
  warmUpMs: number;
  /** New chats a second over all workspaces. */
  chatsPerSecond: number;
  /** Share of the runners that is lost or replaced each minute. */
  churnPerMinute: number;
  /** Whether one workspace surges to ten times its traffic. */
  hasSurge: boolean;
};

/** Users' size of today with the churn that the targets name. */
export const todayScenario: Scenario = {
  seed: 1,
  runners: 13,
  routers: 4,
  failureDomains: 4,
  workspaces: 10,
  durationMs: 30 * 60_000,
  warmUpMs: 10 * 60_000,
  chatsPerSecond: 8,
  churnPerMinute: 0.1,
  hasSurge: true,
};

/** Time in the measured part at which the surge begins. */
export const surgeStartMs = 15 * 60_000;

/** Length of the surge. */
export const surgeDurationMs = 120_000;

/** Traffic of the surging workspace relative to its ordinary one. */
export const surgeFactor = 10;

/** Place of the surging workspace by size; 0 is the largest. */
export const surgingWorkspace = 4;

/** Speeds and sizes of the engines. */
export const engineModel = {
  prefillTokensPerSecond: 20_000,
  /** Time of one decoding step of an empty batch. */
  stepMs: 20,
  /** Time that each request of the batch adds to a step. */
  stepMsPerRequest: 0.2,
  cacheTokens: 2_500_000,
  transferTokensPerSecond: 60_000,
  transferStartMs: 15,
} as const;

/** One way between two processes. */
export const hopMs = 2;

/** The product's defaults, so that what is measured is what runs. */
export const productSettings: Settings = settingsSchema.parse({});

/** Bounds of the load in the experiment. */
export const loadBounds = {
  capMultiple: productSettings.load.capMultiple,
  /** The highest with which the all-knowing router keeps the skew target. */
  knowingMultiple: 1.1,
  /** Multiple of the mean beyond which a sidecar sends a turn elsewhere. */
  refuseMultiple: 1.08,
  /** Multiple of the mean beyond which a router chooses another rank. */
  spillMultiple: productSettings.load.spillMultiple,
  minimumTokens: productSettings.load.minimumTokens,
} as const;

/** Name of the runner at an index. */
export function getRunnerName(index: number): string {
  return `assistant-${index + 1}`;
}
