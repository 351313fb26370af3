import { LRUCache } from "lru-cache";
import type { RunnerId } from "../tables/mod.ts";

/** How long runners that come and go are kept out. */
export type HoldDownOptions = {
  /** Hold after the first loss, in milliseconds. */
  holdDownMs: number;
  /** Longest hold; losses further apart than this are not counted together. */
  maximumHoldDownMs: number;
};

type Loss = { count: number; lostAtMs: number };

const maxRunners = 4096;

/**
 * Damps flapping runners: each loss soon after another doubles the time for
 * which the runner gets no new work after it has come back.
 */
export class HoldDown {
  readonly #options: HoldDownOptions;
  readonly #losses = new LRUCache<RunnerId, Loss>({ max: maxRunners });

  private constructor(options: HoldDownOptions) {
    this.#options = options;
  }

  /** Creates a hold-down that knows no losses. */
  static create(options: HoldDownOptions): HoldDown {
    return new HoldDown(options);
  }

  /** Records that a runner went away without having said that it leaves. */
  recordLoss(id: RunnerId, nowMs: number): void {
    const last = this.#losses.get(id);
    const isRepeated = last !== undefined &&
      nowMs - last.lostAtMs <= this.#options.maximumHoldDownMs * 2;
    const count = isRepeated ? last.count + 1 : 1;
    this.#losses.set(id, { count, lostAtMs: nowMs });
  }

  /** Time until which a runner that has come back gets no new work. */
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

  /** Says whether a runner is held down. */
  isHeld(id: RunnerId, nowMs: number): boolean {
    return nowMs < this.getEndMs(id);
  }
}
