import { LRUCache } from "lru-cache";
import { getRouterRank, hash32, type KnownRouters } from "../hashing/mod.ts";
import type { Crash } from "./evidence.ts";

/** A request whose quarantined parts may be found sound by sending it. */
export type Trial = {
  /** Its quarantined parts. */
  partIds: readonly string[];
  /** Part whose trial is due last; by it, routers agree who sends a request. */
  lastPartId: string;
  /** Time from which it may be sent. */
  dueMs: number;
};

/** When and by whom a trial may be sent. */
export type TrialOptions = { nowMs: number; routers: KnownRouters };

/** Trials of a part that this router has sent. */
type SentTrials = { count: number; lastMs: number };

/**
 * Decides when this router sends a request with quarantined parts on trial, like
 * a circuit breaker that is half open: while all requests with a sound part are
 * refused, none can be answered and clear it. A few routers take turns, so that
 * a part that does crash runners crashes one of them at a time.
 */
export class QuarantineTrials {
  readonly #sent = new LRUCache<string, SentTrials>({ max: maxParts });

  private constructor() {}

  /** Creates trials of which none was sent. */
  static create(): QuarantineTrials {
    return new QuarantineTrials();
  }

  /** Whether it is this router's turn to send a request. */
  isDue(trial: Trial, { nowMs, routers }: TrialOptions): boolean {
    const rank = getRouterRank(hash32(trial.lastPartId), routers);
    if (rank === undefined || nowMs < trial.dueMs) return false;
    const others = routers.otherHashes?.length ?? 0;
    const turn = Math.floor((nowMs - trial.dueMs) / turnMs);
    if (turn % Math.min(others + 1, maxRouters) !== rank) return false;
    return trial.partIds.every((partId) => nowMs >= this.#getNextMs(partId));
  }

  /** Records that a request was sent on trial. */
  recordSend({ partIds }: Trial, nowMs: number): void {
    for (const partId of partIds) {
      const count = (this.#sent.get(partId)?.count ?? 0) + 1;
      this.#sent.set(partId, { count, lastMs: nowMs });
    }
  }

  /** Forgets the trials of parts that turned out to be sound. */
  forget(partIds: Iterable<string>): void {
    for (const partId of partIds) this.#sent.delete(partId);
  }

  /** Gets the time of the next trial of a part at this router. */
  #getNextMs(partId: string): number {
    const sent = this.#sent.get(partId);
    if (sent === undefined) return Number.NEGATIVE_INFINITY;
    return sent.lastMs + turnMs * trialBackoff ** (sent.count - 1);
  }
}

/**
 * Gets the time at which a part may be tried next, from the crashes that speak
 * against it; undefined if trials of it have failed too often. All routers with
 * the same evidence agree on it.
 */
export function getTrialDueMs(
  crashes: readonly Crash[],
  partId: string,
): number | undefined {
  const lastMs = Math.max(...crashes.map(({ atMs }) => atMs));
  const failed = crashes.filter(({ triedPartIds }) =>
    triedPartIds?.includes(partId)
  );
  const delayMs = trialDelaysMs.at(failed.length);
  return delayMs === undefined ? undefined : lastMs + delayMs;
}

/**
 * Gets the time after which a refused caller should come back for a trial that
 * may clear its request: when it is due and answered, later the longer it has
 * been due, since it may tell nothing.
 *
 * @param random from 0 to 1, so that callers do not come back together.
 */
export function getReturnMs(
  { dueMs }: Trial,
  { nowMs, random }: { nowMs: number; random: number },
): number {
  const untilMs = Math.max(0, dueMs - nowMs);
  const overdueMs = Math.max(0, nowMs - dueMs);
  return untilMs + (turnMs + overdueMs) * (1 + random) / 2;
}

/** Times from the last crash to a trial, by the trials that have failed. */
const trialDelaysMs = [2000, 12_000] as const;

/** Time for which one router may send a trial before it is the next one's turn. */
const turnMs = 3000;

/** Routers that take turns. */
const maxRouters = 3;

/** Factor by which a router's wait for its next trial of a part grows. */
const trialBackoff = 4;

/** Maximum parts whose trials are known. */
const maxParts = 1000;
