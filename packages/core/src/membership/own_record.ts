import { getSendBudget } from "./budget.ts";
import { loadBytes } from "./codec.ts";
import { updateRunner } from "./merge.ts";
import { isSameIdentity } from "./identity.ts";
import type { DigestRecord, EngineState } from "./record.ts";
import { describeRounds } from "./tables.ts";
import { createRecord, setPending, type Spreader } from "./spreader.ts";

/** A load that moved by this share of the last told is told anew. */
export const publishRatio = 0.05;

/** Moves below this many tokens are not told. */
export const publishTokens = 256;

/** A load that did not move is told anew after this share of staleness. */
const refreshShare = 0.4;

/** Sets the load of this process's runner. */
export function setOwnLoad(spreader: Spreader, loadTokens: number): void {
  spreader.loadTokens = loadTokens;
}

/** Marks this process as leaving; peers hear it at the next tick. */
export function setOwnLeaving(spreader: Spreader): void {
  const { self } = spreader.tables;
  if (self.record.isLeaving) return;
  self.record.isLeaving = true;
  self.leavingEpoch = self.record.epoch;
  updateRunner(spreader.tables, self);
  self.record.sequence += 1;
  setPending(spreader, self, { origin: "own", urgency: "state" });
}

/** Sets what this process says of its runner; peers hear a change at once. */
export function setOwnRunner(
  spreader: Spreader,
  state: { pools: string[]; engine: EngineState },
): void {
  const { self } = spreader.tables;
  if (self.identity.runner === undefined) return;
  const runner = { ...self.identity.runner, ...state };
  const identity = { ...self.identity, runner };
  if (isSameIdentity(identity, self.identity)) return;
  self.identity = identity;
  self.record.sequence += 1;
  self.record.identitySequence = self.record.sequence;
  self.identitySequence = self.record.sequence;
  self.describeRounds = describeRounds;
  updateRunner(spreader.tables, self);
  setPending(spreader, self, { origin: "own", urgency: "state" });
}

/** Raises the configuration version that digests tell. */
export function setOwnVersion(spreader: Spreader, version: number): void {
  if (version <= spreader.configurationVersion) return;
  const { record } = spreader.tables.self;
  spreader.configurationVersion = version;
  record.configurationVersion = version;
  record.sequence += 1;
  spreader.versionRounds = spreader.scheme.getRounds(
    spreader.tables,
    "own",
    "state",
  );
}

/** Gets this process's record with the load of this moment. */
export function getOwnRecord(spreader: Spreader, nowMs: number): DigestRecord {
  const { self } = spreader.tables;
  updateOwnLoad(spreader, nowMs);
  return createRecord(self, nowMs);
}

/** Tells peers the load when it moved or the last record is getting old. */
export function publishOwnLoad(spreader: Spreader, nowMs: number): void {
  const { self } = spreader.tables;
  if (self.identity.type !== "sidecar" || nowMs < spreader.nextOwnAtMs) return;
  const moved = Math.abs(spreader.loadTokens - spreader.toldTokens);
  const threshold = Math.max(publishTokens, publishRatio * spreader.toldTokens);
  const refreshMs = spreader.tables.limits.staleAfterMs * refreshShare;
  if (moved <= threshold && nowMs - spreader.toldAtMs < refreshMs) return;
  spreader.nextOwnAtMs = nowMs + getOwnPeriodMs(spreader);
  spreader.toldTokens = spreader.loadTokens;
  spreader.toldAtMs = nowMs;
  updateOwnLoad(spreader, nowMs);
  setPending(spreader, self, { origin: "own", urgency: "load" });
}

function updateOwnLoad(spreader: Spreader, nowMs: number): void {
  const { self } = spreader.tables;
  self.record.loadTokens = spreader.loadTokens;
  self.record.sequence += 1;
  self.madeAtMs = nowMs;
  updateRunner(spreader.tables, self);
}

/**
 * Gets the time between two own records, stretched where all runners at the
 * usual period would not fit the budget.
 */
export function getOwnPeriodMs(spreader: Spreader): number {
  const { scheme, tables } = spreader;
  const bytes = tables.runners.size * loadBytes * scheme.getCopies(tables);
  const fitMs = bytes / getSendBudget(tables) * 1000;
  return Math.max(tables.limits.digestPeriodMs, fitMs);
}
