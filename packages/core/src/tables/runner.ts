import type { ConfigurationVersion, Epoch, HostId, RunnerId } from "./ids.ts";

/** Whether a runner serves models or a plain service. */
export type RunnerKind = "engine" | "service";

/**
 * Life of a runner as seen by one process. A leaving runner stays leaving
 * until a higher epoch of it is seen.
 */
export type RunnerState = "joining" | "active" | "leaving" | "gone";

/** What one process knows of one runner. */
export type RunnerRow = {
  id: RunnerId;
  host: HostId;
  failureDomain: string;
  region: string;
  /** `ip:port` at which the sidecar takes requests. */
  dataAddress: string;
  /** `ip:port` at which the sidecar takes control calls. */
  controlAddress: string;
  kind: RunnerKind;
  /** Names of the models or of the service that the runner serves. */
  pools: string[];
  /** Relative capacity; 1 is an ordinary runner. */
  capacity: number;
  /** Work outstanding in weighted tokens. */
  loadTokens: number;
  state: RunnerState;
  epoch: Epoch;
  /** Increases with each change of the record inside an epoch. */
  sequence: number;
  configurationVersion: ConfigurationVersion;
  /** Time at which the record was last known to be fresh. */
  observedAtMs: number;
};

/**
 * Says whether the record `left` supersedes `right` for the same runner: a
 * higher epoch wins, and inside an epoch a higher sequence.
 */
export function isNewerRunner(
  left: Pick<RunnerRow, "epoch" | "sequence">,
  right: Pick<RunnerRow, "epoch" | "sequence">,
): boolean {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch;
  return left.sequence > right.sequence;
}
