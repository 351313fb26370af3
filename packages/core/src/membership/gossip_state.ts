import { type ByteBudget, createByteBudget } from "./budget.ts";
import type { Digest } from "./codec.ts";
import { updateRunner } from "./merge.ts";
import type { DigestRecord } from "./record.ts";
import type { GossipScheme, RecordOrigin, Urgency } from "./schemes.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** Command to send a digest to a peer as one datagram. */
export type SendDigest = {
  type: "send-digest";
  peer: MemberRow;
  bytes: Uint8Array;
};

/** Gossip state of one process. */
export type GossipState = {
  tables: MembershipTables;
  scheme: GossipScheme;
  budget: ByteBudget;
  /** Highest configuration version that this process holds. */
  configurationVersion: number;
  /** Remaining rounds that send a digest even if only the version is new. */
  versionRounds: number;
  nextLoadAtMs: number;
  nextPublishAtMs: number;
  nextRefreshAtMs: number;
  /** Load last published to peers. */
  publishedTokens: number;
  /** Time at which the load was last published. */
  publishedAtMs: number;
  /** Current load of this process's runner. */
  loadTokens: number;
  /** Members whose full record is repeated, one per digest period. */
  refreshQueue: MemberRow[];
  /** Index among the leaving members at which a refresh starts. */
  refreshOffset: number;
};

/** Initial gossip state. */
export type GossipOptions = {
  tables: MembershipTables;
  scheme: GossipScheme;
  nowMs: number;
  /** Delay of the first round, so that processes do not send in step. */
  phaseMs: number;
};

/** Creates gossip state and queues the process's own record as urgent. */
export function createGossipState(options: GossipOptions): GossipState {
  const { nowMs, phaseMs, scheme, tables } = options;
  const gossip: GossipState = {
    tables,
    scheme,
    budget: createByteBudget(tables, nowMs),
    configurationVersion: 0,
    versionRounds: 0,
    nextLoadAtMs: nowMs + phaseMs,
    nextPublishAtMs: nowMs + phaseMs,
    nextRefreshAtMs: nowMs + phaseMs,
    publishedTokens: 0,
    publishedAtMs: nowMs,
    loadTokens: 0,
    refreshQueue: [],
    refreshOffset: 0,
  };
  updateRunner(tables, tables.self);
  setPending(gossip, tables.self, { origin: "own", urgency: "state" });
  return gossip;
}

/**
 * Queues a record for the next tick if its urgency is `state`, else for the
 * next load round.
 */
export function setPending(
  gossip: GossipState,
  member: MemberRow,
  options: { origin: RecordOrigin; urgency: Urgency },
): void {
  const { scheme, tables } = gossip;
  const rounds = scheme.getRounds(tables, options.origin, options.urgency);
  if (rounds === 0) return;
  if (options.urgency === "state") member.isUrgent = true;
  member.roundsLeft = Math.max(rounds, member.roundsLeft);
  tables.pending.add(member);
}

/** Creates a digest that contains only the configuration version. */
export function createDigest(gossip: GossipState): Digest {
  return {
    sender: gossip.tables.self.record.wireId,
    configurationVersion: gossip.configurationVersion,
    records: [],
    loads: [],
    wanted: [],
    identities: [],
  };
}

/** Creates the record of a member for sending, with its current age. */
export function createRecord(member: MemberRow, nowMs: number): DigestRecord {
  return { ...member.record, ageMs: Math.max(0, nowMs - member.createdAtMs) };
}
