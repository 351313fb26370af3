import { LRUCache } from "lru-cache";
import type { RunnerId } from "../tables/mod.ts";

/** Limits on the hold-down of flapping runners. */
export type HoldDownOptions = {
  /** Hold-down after the first loss, in milliseconds. */
  holdDownMs: number;
  /**
   * Longest hold-down, in milliseconds. A loss more than twice this time after
   * the previous one counts as a first loss.
   */
  maximumHoldDownMs: number;
};

type Loss = { count: number; lostAtMs: number };

/** Runners whose losses are kept; the least recently used is evicted. */
const maxRunners = 4096;

/**
 * Damps flapping runners: each repeated loss doubles the hold-down, counted
 * from the loss, during which a returning runner gets no new work.
 */
export class HoldDown {
  readonly #options: HoldDownOptions;
  readonly #losses = new LRUCache<RunnerId, Loss>({ max: maxRunners });

  private constructor(options: HoldDownOptions) {
    this.#options = options;
  }

  /** Creates a hold-down without recorded losses. */
  static create(options: HoldDownOptions): HoldDown {
    return new HoldDown(options);
  }

  /** Records that a runner disappeared without announcing that it leaves. */
  recordLoss(id: RunnerId, nowMs: number): void {
    const last = this.#losses.get(id);
    const isRepeated = last !== undefined &&
      nowMs - last.lostAtMs <= this.#options.maximumHoldDownMs * 2;
    const count = isRepeated ? last.count + 1 : 1;
    this.#losses.set(id, { count, lostAtMs: nowMs });
  }

  /** Gets the time until which a returning runner gets no new work. */
  getEndMs(id: RunnerId): number {
    const loss = this.#losses.get(id);
    if (loss === undefined) return 0;
    const { holdDownMs, maximumHoldDownMs } = this.#options;
    const holdMs = Math.min(
      maximumHoldDownMs,
      holdDownMs * 2 ** (loss.count - 1),
    );
    return loss.lostAtMs + holdMs;
  }

  /** Checks whether a runner is held down. */
  isHeld(id: RunnerId, nowMs: number): boolean {
    return nowMs < this.getEndMs(id);
  }
}
