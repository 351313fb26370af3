import type { ConfigurationVersion, Epoch, HostId, RunnerId } from "./ids.ts";

/** Whether a runner serves models or a plain service. */
export type RunnerKind = "engine" | "service";

/**
 * Lifecycle state of a runner, as observed by one process. A leaving runner
 * stays leaving until a higher epoch is observed.
 */
export type RunnerState = "joining" | "active" | "leaving" | "gone";

/** State that one process holds about one runner. */
export type RunnerRow = {
  id: RunnerId;
  host: HostId;
  failureDomain: string;
  region: string;
  /** `ip:port` at which the sidecar accepts requests. */
  dataAddress: string;
  /** `ip:port` at which the sidecar accepts control calls. */
  controlAddress: string;
  kind: RunnerKind;
  /** Names of the models or of the service that the runner serves. */
  pools: string[];
  /** Relative capacity; 1 is that of a standard runner. */
  capacity: number;
  /** Outstanding work in weighted tokens. */
  loadTokens: number;
  state: RunnerState;
  epoch: Epoch;
  /** Increases with each change of the record within an epoch. */
  sequence: number;
  configurationVersion: ConfigurationVersion;
  /** Time at which the sidecar created the record, by the local clock. */
  observedAtMs: number;
};

/**
 * Checks whether the record `left` supersedes `right` for the same runner: a
 * higher epoch wins, and within an epoch a higher sequence.
 */
export function isNewerRunner(
  left: Pick<RunnerRow, "epoch" | "sequence">,
  right: Pick<RunnerRow, "epoch" | "sequence">,
): boolean {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch;
  return left.sequence > right.sequence;
}
