import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** Options of a detector of stalls. */
export type StallDetectorOptions = {
  timers: TimerService;
  /** Called after a stall, with its duration. */
  onStall: (durationMs: number) => void;
};

/**
 * Notices that the event loop has stalled, so that what is read now may have
 * arrived long ago.
 */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #subscription: TimerSubscription;
  #tickAtMs: number;
  #stalledUntilMs = Number.NEGATIVE_INFINITY;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#tickAtMs = options.timers.nowMs();
    this.#subscription = options.timers.subscribe(
      periodMs,
      (nowMs) => this.#tick(nowMs),
    );
  }

  /** Creates a detector, which runs until it is disposed of. */
  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  /** Whether what has just been read may have arrived during a stall. */
  get isAfterStall(): boolean {
    const nowMs = this.#options.timers.nowMs();
    return this.#getStallMs(nowMs) >= minStallMs ||
      nowMs <= this.#stalledUntilMs + readingMs;
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  #tick(nowMs: number): void {
    const stallMs = this.#getStallMs(nowMs);
    this.#tickAtMs = nowMs;
    if (stallMs < minStallMs) return;
    this.#stalledUntilMs = nowMs;
    this.#options.onStall(stallMs);
  }

  /** Gets the time by which a tick is late. */
  #getStallMs(nowMs: number): number {
    return nowMs - this.#tickAtMs - periodMs;
  }
}

/** Period of ticks. */
const periodMs = 100;

/** Shortest stall, below the time that a caller's leaving may go unnoticed. */
const minStallMs = 250;

/** Time after a stall in which what arrived meanwhile is read. */
const readingMs = 1000;
