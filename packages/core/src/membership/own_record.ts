import { getSendBudget } from "./budget.ts";
import { loadBytes } from "./codec.ts";
import { updateRunner } from "./merge.ts";
import { isSameIdentity } from "./identity.ts";
import type { DigestRecord, EngineState } from "./record.ts";
import { newIdentityRounds } from "./tables.ts";
import { createRecord, type GossipState, setPending } from "./gossip_state.ts";

/**
 * A load is published when it changes by more than this share of the last
 * published load.
 */
export const publishRatio = 0.05;

/** Changes of at most this many tokens are not published. */
export const publishTokens = 256;

/** Share of `staleAfterMs` after which an unchanged load is published. */
const refreshShare = 0.4;

/** Sets the load of this process's runner. */
export function setOwnLoad(gossip: GossipState, loadTokens: number): void {
  gossip.loadTokens = loadTokens;
}

/** Marks this process as leaving and sends this to peers at the next tick. */
export function setOwnLeaving(gossip: GossipState): void {
  const { self } = gossip.tables;
  if (self.record.isLeaving) return;
  self.record.isLeaving = true;
  self.leavingEpoch = self.record.epoch;
  updateRunner(gossip.tables, self);
  self.record.sequence += 1;
  setPending(gossip, self, { origin: "own", urgency: "state" });
}

/**
 * Sets the pools and engine state of this process's runner. A change is sent to
 * peers at the next tick.
 */
export function setOwnRunner(
  gossip: GossipState,
  state: { pools: string[]; engine: EngineState },
): void {
  const { self } = gossip.tables;
  if (self.identity.runner === undefined) return;
  const runner = { ...self.identity.runner, ...state };
  const identity = { ...self.identity, runner };
  if (isSameIdentity(identity, self.identity)) return;
  self.identity = identity;
  self.record.sequence += 1;
  self.record.identitySequence = self.record.sequence;
  self.identitySequence = self.record.sequence;
  self.identityRounds = newIdentityRounds;
  updateRunner(gossip.tables, self);
  setPending(gossip, self, { origin: "own", urgency: "state" });
}

/** Raises the configuration version in this process's digests and record. */
export function setOwnVersion(gossip: GossipState, version: number): void {
  if (version <= gossip.configurationVersion) return;
  const { record } = gossip.tables.self;
  gossip.configurationVersion = version;
  record.configurationVersion = version;
  record.sequence += 1;
  gossip.versionRounds = gossip.scheme.getRounds(
    gossip.tables,
    "own",
    "state",
  );
}

/** Gets this process's record with its current load. */
export function getOwnRecord(
  gossip: GossipState,
  nowMs: number,
): DigestRecord {
  const { self } = gossip.tables;
  updateOwnLoad(gossip, nowMs);
  return createRecord(self, nowMs);
}

/**
 * Queues this process's load for peers when it has changed enough or the last
 * published record is close to being stale.
 */
export function publishOwnLoad(gossip: GossipState, nowMs: number): void {
  const { self } = gossip.tables;
  if (self.identity.type !== "sidecar" || nowMs < gossip.nextPublishAtMs) {
    return;
  }
  const change = Math.abs(gossip.loadTokens - gossip.publishedTokens);
  const threshold = Math.max(
    publishTokens,
    publishRatio * gossip.publishedTokens,
  );
  const refreshMs = gossip.tables.limits.staleAfterMs * refreshShare;
  if (change <= threshold && nowMs - gossip.publishedAtMs < refreshMs) return;
  gossip.nextPublishAtMs = nowMs + getPublishPeriodMs(gossip);
  gossip.publishedTokens = gossip.loadTokens;
  gossip.publishedAtMs = nowMs;
  updateOwnLoad(gossip, nowMs);
  setPending(gossip, self, { origin: "own", urgency: "load" });
}

function updateOwnLoad(gossip: GossipState, nowMs: number): void {
  const { self } = gossip.tables;
  self.record.loadTokens = gossip.loadTokens;
  self.record.sequence += 1;
  self.createdAtMs = nowMs;
  updateRunner(gossip.tables, self);
}

/**
 * Gets the minimum time between two published loads of this process. It exceeds
 * the digest period when the load records of all runners, sent once per digest
 * period, would not fit the byte budget.
 */
export function getPublishPeriodMs(gossip: GossipState): number {
  const { scheme, tables } = gossip;
  const bytes = tables.runners.size * loadBytes * scheme.getCopies(tables);
  const fitMs = bytes / getSendBudget(tables) * 1000;
  return Math.max(tables.limits.digestPeriodMs, fitMs);
}
