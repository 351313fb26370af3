import { LRUCache } from "lru-cache";

/** Trials of one part at this router. */
type PartTrial = {
  /** Time at which a request with the part was first refused. */
  sinceMs: number;
  isUsed: boolean;
};

/** When a router admits a request on trial. */
export type TrialOptions = {
  nowMs: number;
  /** Place of this router among all for the part; undefined if not known. */
  rank: number | undefined;
};

/**
 * Admits a few requests with a quarantined part of a prompt, like a circuit
 * breaker that is half open: a sound part is answered and cleared, while none of
 * its requests could clear it if all were refused. Each of the first routers for
 * the part admits one request, ever later, so that a part that does crash
 * runners crashes few more.
 */
export class QuarantineTrials {
  readonly #trials = new LRUCache<string, PartTrial>({ max: maxParts });

  private constructor() {}

  /** Creates trials of which none was used. */
  static create(): QuarantineTrials {
    return new QuarantineTrials();
  }

  /** Admits a request with a quarantined part if this router's trial is due. */
  tryAdmit(partId: string, { nowMs, rank }: TrialOptions): boolean {
    const trial = this.#trials.get(partId) ?? { sinceMs: nowMs, isUsed: false };
    this.#trials.set(partId, trial);
    const dueMs = rank === undefined ? undefined : trialTimesMs.at(rank);
    if (dueMs === undefined || trial.isUsed) return false;
    if (nowMs < trial.sinceMs + dueMs) return false;
    trial.isUsed = true;
    return true;
  }
}

/** Times after the first refusal of the trials, in the order of the routers. */
const trialTimesMs = [1000, 2000, 4000] as const;

/** Maximum parts whose trials are known. */
const maxParts = 1000;
