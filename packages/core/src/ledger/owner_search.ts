import { hash32, mix32 } from "../hashing/mod.ts";
import type { LedgerAnswer } from "./messages.ts";

/** The shard whose owner is looked for. */
export type OwnerSearchOptions = {
  service: string;
  shard: number;
  /** Owner that an earlier call found. */
  hint: string | undefined;
};

/** Whom to ask next. */
export type OwnerChoice = {
  name: string;
  /** Whether the asked sidecar may wait for the lease and take over. */
  mayClaim: boolean;
};

/** Answer where no sidecar can tell; the key may have run. */
const noOwner: LedgerAnswer = {
  type: "refused",
  result: "ledgerUnavailable",
  executed: "unknown",
  detail: "No owner of the shard answers",
  retryAfterMs: 1000,
};

/** Hint that names no candidate, so that any of them may claim. */
const formerOwner = "";

const maxAsks = 8;

/** A router's search for the owner of one call's shard. */
export class OwnerSearch {
  readonly #options: OwnerSearchOptions;
  readonly #failed = new Set<string>();
  #hint: string | undefined;
  #last: LedgerAnswer = noOwner;
  #asks = 0;

  private constructor(options: OwnerSearchOptions) {
    this.#options = options;
    this.#hint = options.hint;
  }

  /** Creates a search that has asked nobody. */
  static create(options: OwnerSearchOptions): OwnerSearch {
    return new OwnerSearch(options);
  }

  /** Owner as far as known, for later calls. */
  get hint(): string | undefined {
    return this.#hint;
  }

  /**
   * What the caller is told when nobody is left to ask. Only the last asked
   * sidecar's word counts: an older `no` may have become untrue since.
   */
  get last(): LedgerAnswer {
    return this.#last;
  }

  /**
   * Chooses the sidecar to ask: the named owner, else the first by rendezvous
   * hashing of the shard that has not failed.
   *
   * @returns undefined when nobody is left.
   */
  choose(candidates: readonly string[]): OwnerChoice | undefined {
    this.#asks += 1;
    if (this.#asks > maxAsks) return undefined;
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
   * Takes in an answer, or that none came.
   *
   * @returns whether it is the caller's answer.
   */
  apply(asked: string, answer: LedgerAnswer | undefined): boolean {
    this.#last = answer === undefined || answer.type === "moved"
      ? noOwner
      : answer;
    if (answer?.type === "moved") {
      this.#applyMove(asked, answer.owner?.name);
      return false;
    }
    if (answer !== undefined && !isInconclusive(answer)) {
      this.#hint = asked;
      return true;
    }
    this.#hint ??= asked;
    this.#failed.add(asked);
    return false;
  }

  #applyMove(asked: string, owner: string | undefined): void {
    if (owner === undefined) {
      this.#failed.add(asked);
      this.#hint = asked;
    } else {
      this.#failed.delete(owner);
      // A sidecar that names itself means a former start of its own.
      this.#hint = owner === asked ? formerOwner : owner;
    }
  }
}

/** Ranks sidecars as owners of a shard, the proposed one first. */
export function rankOwners(
  options: {
    service: string;
    shard: number;
    candidates: readonly string[];
  },
): string[] {
  const word = hash32(`${options.service}/${options.shard}`);
  const scored = options.candidates.map((name) => ({
    name,
    score: mix32(word, hash32(name)),
  }));
  scored.sort((left, right) => left.score - right.score);
  return scored.map(({ name }) => name);
}

/** Says whether another sidecar may know better than this refusal. */
function isInconclusive(answer: LedgerAnswer): boolean {
  if (answer.type !== "refused") return false;
  return answer.result === "runnerLeaving" ||
    (answer.result === "ledgerUnavailable" && answer.executed === "unknown");
}
