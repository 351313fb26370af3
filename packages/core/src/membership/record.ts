import { hash32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { ConfigurationVersion, Epoch, RunnerKind } from "../tables/mod.ts";

/** Type of a process that takes part in the gossip of digests. */
export type MemberType = "router" | "sidecar";

/** Identifier of a member on the wire: a hash of its type and name. */
export type WireId = number;

/** Phases of inference that an engine runs; `mixed` runs both. */
export const engineRoles = ["mixed", "prefill", "decode"] as const;

/** Role of an engine. */
export type EngineRole = (typeof engineRoles)[number];

/** A model that an engine has loaded or is loading. */
export type LoadedModel = {
  name: string;
  version: string;
  adapters: string[];
  isReady: boolean;
};

/** Description of the runner in a sidecar's identity. */
export type RunnerIdentity = {
  id: string;
  kind: RunnerKind;
  pools: string[];
  dataAddress: string;
  /** Absent if the runner does not report it. */
  engine?: EngineState;
};

/** Role and models that an engine reports. */
export type EngineState = { role: EngineRole; models: LoadedModel[] };

/**
 * Name, location and addresses of a process. Only the pools and engine state of
 * a runner change while the process runs.
 */
export type MemberIdentity = {
  type: MemberType;
  /** Name of the process, unique in the fleet. */
  name: string;
  host: string;
  failureDomain: string;
  region: string;
  /** `ip:port`; digests use the same port number over UDP. */
  controlAddress: string;
  /** Absent for a router. */
  runner?: RunnerIdentity;
};

/** State that a member announces and its peers relay. */
export type DigestRecord = {
  wireId: WireId;
  epoch: Epoch;
  /** Increases with each change within an epoch. */
  sequence: number;
  /** Outstanding work in weighted tokens. */
  loadTokens: number;
  capacity: number;
  isLeaving: boolean;
  configurationVersion: ConfigurationVersion;
  /** Sequence at which the member last changed its identity. */
  identitySequence: number;
  /** Time since the member itself created the record. */
  ageMs: number;
};

/** Gets the identifier of a member on the wire. */
export function getWireId(member: { type: string; name: string }): WireId {
  return hash32(`${member.type}/${member.name}`);
}

/**
 * Checks whether the record `left` supersedes `right`: a higher epoch wins, and
 * within an epoch a higher sequence.
 */
export function isNewerRecord(
  left: Pick<DigestRecord, "epoch" | "sequence">,
  right: Pick<DigestRecord, "epoch" | "sequence">,
): boolean {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch;
  return left.sequence > right.sequence;
}

/**
 * Size of the random component of an epoch, which distinguishes two starts in
 * the same millisecond.
 */
const epochsPerMs = 1024;

/** Creates the epoch of a process that starts now. */
export function createEpoch(nowMs: number, random: RandomSource): number {
  return Math.floor(nowMs) * epochsPerMs + random.getInteger(epochsPerMs);
}

/** Gets the time at which the process of an epoch started. */
export function getStartMs(epoch: Epoch): number {
  return Math.floor(epoch / epochsPerMs);
}
