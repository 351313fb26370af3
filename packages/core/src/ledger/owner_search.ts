import { hash32, mix32 } from "../hashing/mod.ts";
import type { LedgerAnswer } from "./messages.ts";

/** Options of a search for the owner of a shard. */
export type OwnerSearchOptions = {
  service: string;
  shard: number;
  /** Name of the owner that an earlier call found. */
  hint: string | undefined;
};

/** Sidecar to query next. */
export type OwnerChoice = {
  name: string;
  /** Whether the sidecar may wait for the lease to expire and take over. */
  mayClaim: boolean;
};

/** Answer if no sidecar can decide on the call; it may have run. */
const noOwnerAnswer: LedgerAnswer = {
  type: "refused",
  result: "ledgerUnavailable",
  executed: "unknown",
  detail: "No owner of the shard responds",
  retryAfterMs: 1000,
};

/** Hint that matches no candidate, so that any candidate may claim. */
const noCandidateHint = "";

/** Maximum number of queries to sidecars in one search. */
const maxRequests = 8;

/** A router's search for the owner of one call's shard. */
export class OwnerSearch {
  readonly #options: OwnerSearchOptions;
  readonly #failed = new Set<string>();
  #hint: string | undefined;
  #last: LedgerAnswer = noOwnerAnswer;
  #requestCount = 0;

  private constructor(options: OwnerSearchOptions) {
    this.#options = options;
    this.#hint = options.hint;
  }

  /** Creates a search that has not queried any sidecar. */
  static create(options: OwnerSearchOptions): OwnerSearch {
    return new OwnerSearch(options);
  }

  /** Name of the presumed owner, to be the hint of later searches. */
  get hint(): string | undefined {
    return this.#hint;
  }

  /**
   * Answer for the caller when no sidecar is left to query. Only the answer of
   * the last queried sidecar counts: the call may have run since an earlier
   * one answered `no`.
   */
  get lastAnswer(): LedgerAnswer {
    return this.#last;
  }

  /**
   * Chooses the sidecar to query: the hinted owner if it is usable, else the
   * first one by rendezvous hashing of the shard that has not failed.
   *
   * @returns undefined once all candidates failed or `maxRequests` is reached.
   */
  choose(candidates: readonly string[]): OwnerChoice | undefined {
    this.#requestCount += 1;
    if (this.#requestCount > maxRequests) return undefined;
    const hint = this.#hint;
    const isUsable = hint !== undefined && !this.#failed.has(hint) &&
      candidates.includes(hint);
    if (isUsable) return { name: hint, mayClaim: false };
    const name = rankOwners({ ...this.#options, candidates })
      .find((name) => !this.#failed.has(name));
    if (name === undefined) return undefined;
    return { name, mayClaim: hint !== undefined };
  }

  /**
   * Records the answer of a queried sidecar, undefined if none came.
   *
   * @returns whether the answer is final, to be passed to the caller.
   */
  apply(queried: string, answer: LedgerAnswer | undefined): boolean {
    this.#last = answer === undefined || answer.type === "moved"
      ? noOwnerAnswer
      : answer;
    if (answer?.type === "moved") {
      this.#applyMove(queried, answer.owner?.name);
      return false;
    }
    if (answer !== undefined && !isInconclusive(answer)) {
      this.#hint = queried;
      return true;
    }
    this.#hint ??= queried;
    this.#failed.add(queried);
    return false;
  }

  #applyMove(queried: string, owner: string | undefined): void {
    if (owner === undefined) {
      this.#failed.add(queried);
      this.#hint = queried;
    } else {
      this.#failed.delete(owner);
      // A sidecar that names itself refers to an earlier epoch of its process.
      this.#hint = owner === queried ? noCandidateHint : owner;
    }
  }
}

/** Ranks sidecars as owners of a shard, the preferred one first. */
export function rankOwners(
  options: {
    service: string;
    shard: number;
    candidates: readonly string[];
  },
): string[] {
  const shardHash = hash32(`${options.service}/${options.shard}`);
  const scored = options.candidates.map((name) => ({
    name,
    score: mix32(shardHash, hash32(name)),
  }));
  scored.sort((left, right) => left.score - right.score);
  return scored.map(({ name }) => name);
}

/** Checks whether another sidecar may give a different answer. */
function isInconclusive(answer: LedgerAnswer): boolean {
  if (answer.type !== "refused") return false;
  return answer.result === "runnerLeaving" ||
    (answer.result === "ledgerUnavailable" && answer.executed === "unknown");
}
