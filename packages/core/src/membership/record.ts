import { hash32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { ConfigurationVersion, Epoch, RunnerKind } from "../tables/mod.ts";

/** Type of a process that takes part in the spreading of digests. */
export type MemberType = "router" | "sidecar";

/** Number of a member on the wire: a hash of its type and name. */
export type WireId = number;

/** Roles of an engine. */
export const engineRoles = ["mixed", "prefill", "decode"] as const;

/** Share of the work that an engine takes on. */
export type EngineRole = (typeof engineRoles)[number];

/** A model that an engine has loaded or is loading. */
export type LoadedModel = {
  name: string;
  version: string;
  adapters: string[];
  isReady: boolean;
};

/** What a sidecar's identity says of its runner. */
export type RunnerIdentity = {
  id: string;
  kind: RunnerKind;
  pools: string[];
  dataAddress: string;
  /** Absent where the runner does not tell. */
  engine?: EngineState;
};

/** What an engine tells of itself. */
export type EngineState = { role: EngineRole; models: LoadedModel[] };

/** What stays the same while a process runs. */
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

/** What a member tells of itself and others pass on. */
export type DigestRecord = {
  wireId: WireId;
  epoch: Epoch;
  /** Increases with each change inside an epoch. */
  sequence: number;
  /** Work outstanding in weighted tokens. */
  loadTokens: number;
  capacity: number;
  isLeaving: boolean;
  configurationVersion: ConfigurationVersion;
  /** Sequence with which the member last changed its identity. */
  identitySequence: number;
  /** Time since the member itself made the record. */
  ageMs: number;
};

/** Gets the number of a member on the wire. */
export function getWireId(member: { type: string; name: string }): WireId {
  return hash32(`${member.type}/${member.name}`);
}

/**
 * Says whether a record supersedes what is known: a higher epoch wins, and
 * inside an epoch a higher sequence.
 */
export function isNewerRecord(
  left: Pick<DigestRecord, "epoch" | "sequence">,
  right: Pick<DigestRecord, "epoch" | "sequence">,
): boolean {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch;
  return left.sequence > right.sequence;
}

/** Random numbers that tell apart two starts in the same millisecond. */
const epochsPerMs = 1024;

/** Creates the epoch of a process that starts now. */
export function createEpoch(nowMs: number, random: RandomSource): number {
  return Math.floor(nowMs) * epochsPerMs + random.getInteger(epochsPerMs);
}

/** Gets the time at which the process of an epoch started. */
export function getStartMs(epoch: Epoch): number {
  return Math.floor(epoch / epochsPerMs);
}
