import { type Settings, settingsSchema } from "@jasminetide/core/configuration";

/** Size, traffic and churn of the measured fleet. */
export type Scenario = {
  seed: number;
  runners: number;
  routers: number;
  failureDomains: number;
  workspaces: number;
  /** Measured time, after the warm-up. */
  durationMs: number;
  warmUpMs: number;
  /** New chats per second in all workspaces. */
  chatsPerSecond: number;
  /** Share of the runners that crash or are replaced each minute. */
  churnPerMinute: number;
  /** Whether the traffic of one workspace surges to ten times. */
  hasSurge: boolean;
};

/** The users' present fleet size, with the churn that the targets name. */
export const defaultScenario: Scenario = {
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

/** Index of the surging workspace by size; 0 is the largest. */
export const surgingWorkspace = 4;

/** Speeds and sizes of the engines. */
export const engineModel = {
  prefillTokensPerSecond: 20_000,
  /** Time of one decoding step with an empty batch. */
  stepMs: 20,
  /** Time that each request in the batch adds to a step. */
  stepMsPerRequest: 0.2,
  cacheTokens: 2_500_000,
  transferTokensPerSecond: 60_000,
  transferStartMs: 15,
} as const;

/** One-way network delay between two processes. */
export const hopMs = 2;

/** The product's defaults, so that the product's own values are measured. */
export const productSettings: Settings = settingsSchema.parse({});

/** Bounds of a runner's load as multiples of the mean load. */
export const loadBounds = {
  capMultiple: productSettings.load.capMultiple,
  /** Highest multiple at which the all-knowing policy meets the skew target. */
  allKnowingMultiple: 1.1,
  /** Multiple above which a sidecar refuses a turn. */
  refuseMultiple: 1.08,
  /** Multiple above which a router chooses the next runner by rank. */
  spillMultiple: productSettings.load.spillMultiple,
  minimumTokens: productSettings.load.minimumTokens,
} as const;

/** Name of the runner at an index. */
export function getRunnerName(index: number): string {
  return `assistant-${index + 1}`;
}
