import { LRUCache } from "lru-cache";

/** How much a router remembers of what engines hold. */
export type PrefixHoldersOptions = {
  /** Parts of prompts that are remembered; the least recently used yields. */
  maxParts: number;
};

type Holder = { runnerId: string; usedAtMs: number };

/**
 * Remembers which engines have read a shared part of a prompt, so that the
 * part keeps its home when engines are added or replaced.
 */
export class PrefixHolders {
  readonly #holders: LRUCache<string, Holder[]>;

  private constructor(options: PrefixHoldersOptions) {
    this.#holders = new LRUCache({ max: options.maxParts });
  }

  /** Creates an empty memory. */
  static create(options: PrefixHoldersOptions): PrefixHolders {
    return new PrefixHolders(options);
  }

  /** Engines that have read a part lately. */
  getHolders(partId: string, nowMs: number): ReadonlySet<string> {
    const holders = this.#holders.get(partId) ?? [];
    return new Set(
      holders
        .filter(({ usedAtMs }) => nowMs - usedAtMs < holderLifeMs)
        .map(({ runnerId }) => runnerId),
    );
  }

  /** Records that an engine reads a part. */
  record(partId: string, runnerId: string, nowMs: number): void {
    const holders = (this.#holders.get(partId) ?? [])
      .filter((holder) =>
        holder.runnerId !== runnerId && nowMs - holder.usedAtMs < holderLifeMs
      );
    holders.unshift({ runnerId, usedAtMs: nowMs });
    this.#holders.set(partId, holders.slice(0, maxHolders));
  }
}

/** Time after which an unused part may have yielded its place. */
const holderLifeMs = 60_000;

/** Engines remembered for one part. */
const maxHolders = 6;
