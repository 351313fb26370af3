import { KnownShare } from "./known_share.ts";
import { getRequestShare } from "./limit_share.ts";
import { SlidingWindow } from "./sliding_window.ts";
import type { LimitUse } from "./stated_limit.ts";

/** A cold runner and the routers that may send requests to it. */
export type ColdLimitUse = LimitUse & {
  /** Requests a second that it tolerates; unlimited if undefined. */
  perSecond: number | undefined;
};

/**
 * Limit on the requests of all routers together to a runner process while it is
 * cold, after its start or later. This router keeps to its share, a whole number
 * of requests in any second, so that the sum stays within the limit.
 */
export class ColdLimit {
  readonly #sent = SlidingWindow.create();
  readonly #share = KnownShare.create(getRequestShare);
  #coldUntilMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates the limit of a runner that is not cold. */
  static create(): ColdLimit {
    return new ColdLimit();
  }

  /** Records that the runner is cold for `leftMs` at least. */
  record(leftMs: number, nowMs: number): void {
    if (leftMs <= 0) return;
    this.#coldUntilMs = Math.max(this.#coldUntilMs, nowMs + leftMs);
  }

  /** Gets for how long the runner is still cold; 0 if it is not. */
  getLeftMs(nowMs: number): number {
    return Math.max(0, this.#coldUntilMs - nowMs);
  }

  /**
   * Gets the time until this router may send a request: 0 if it may now, at most
   * the time for which the runner is cold.
   */
  getWaitMs({ nowMs, perSecond, ...shared }: ColdLimitUse): number {
    const leftMs = this.getLeftMs(nowMs);
    if (leftMs === 0 || perSecond === undefined) return 0;
    const share = this.#share.get(
      { perSecond, runnerHash: shared.runnerHash },
      shared.sharers,
    );
    return Math.min(leftMs, this.#sent.getWaitMs(share, nowMs));
  }

  /** Records that this router sends a request, also while it is not cold. */
  recordSend(nowMs: number): void {
    this.#sent.record(nowMs);
  }

  /**
   * Records that a request is sent only now, which was recorded as sent earlier
   * and has waited for a connection since. Returns false if the limit does not
   * allow it any more; then it counts no longer.
   */
  trySend(recordedAtMs: number, use: ColdLimitUse): boolean {
    this.#sent.remove(recordedAtMs);
    if (this.getWaitMs(use) > 0) return false;
    this.recordSend(use.nowMs);
    return true;
  }
}
