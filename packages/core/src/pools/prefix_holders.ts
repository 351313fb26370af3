import { LRUCache } from "lru-cache";

/** Limits on the prefixes that a router tracks. */
export type PrefixHoldersOptions = {
  /** Number of tracked prefixes; the least recently used is evicted. */
  maxPrefixes: number;
};

type Holder = { runnerId: string; usedAtMs: number };

/**
 * Tracks which engines recently processed a shared prefix of prompts, so that
 * requests with the prefix keep their engine when engines are added or replaced.
 */
export class PrefixHolders {
  readonly #holders: LRUCache<string, Holder[]>;

  private constructor(options: PrefixHoldersOptions) {
    this.#holders = new LRUCache({ max: options.maxPrefixes });
  }

  /** Creates a tracker without any holders. */
  static create(options: PrefixHoldersOptions): PrefixHolders {
    return new PrefixHolders(options);
  }

  /** Gets the engines that recently processed a prefix. */
  getHolders(prefixId: string, nowMs: number): ReadonlySet<string> {
    return new Set(
      this.listHolders(prefixId, nowMs).map(({ runnerId }) => runnerId),
    );
  }

  /** Lists the engines that recently processed a prefix, the latest first. */
  listHolders(
    prefixId: string,
    nowMs: number,
  ): { runnerId: string; ageMs: number }[] {
    const holders = this.#holders.get(prefixId) ?? [];
    return holders
      .map(({ runnerId, usedAtMs }) => ({ runnerId, ageMs: nowMs - usedAtMs }))
      .filter(({ ageMs }) => ageMs < holderTtlMs);
  }

  /** Gets the time since an engine processed a prefix; infinite if unknown. */
  getAgeMs(prefixId: string, runnerId: string, nowMs: number): number {
    const holder = this.#holders.get(prefixId)
      ?.find((each) => each.runnerId === runnerId);
    return nowMs - (holder?.usedAtMs ?? Number.NEGATIVE_INFINITY);
  }

  /** Forgets what an engine holds, since its process has ended. */
  forgetRunner(runnerId: string): void {
    for (const [prefixId, holders] of this.#holders.entries()) {
      if (!holders.some((holder) => holder.runnerId === runnerId)) continue;
      const others = holders.filter((holder) => holder.runnerId !== runnerId);
      this.#holders.set(prefixId, others);
    }
  }

  /** Records that an engine processes a prefix. */
  record(prefixId: string, runnerId: string, nowMs: number): void {
    const holders = (this.#holders.get(prefixId) ?? [])
      .filter((holder) =>
        holder.runnerId !== runnerId && nowMs - holder.usedAtMs < holderTtlMs
      );
    holders.unshift({ runnerId, usedAtMs: nowMs });
    this.#holders.set(prefixId, holders.slice(0, maxHolders));
  }
}

/** Time after which an engine may have evicted an unused prefix. */
const holderTtlMs = 60_000;

/** Engines tracked for one prefix; the most recent are kept. */
const maxHolders = 6;
