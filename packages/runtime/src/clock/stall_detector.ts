import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** Options of a detector of stalls. */
export type StallDetectorOptions = {
  timers: TimerService;
  /** Called after a stall, with its duration. */
  onStall: (durationMs: number) => void;
};

/** Notices that the event loop has stalled. */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #subscription: TimerSubscription;
  #tickAtMs: number;

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

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  #tick(nowMs: number): void {
    const lateMs = nowMs - this.#tickAtMs - periodMs;
    this.#tickAtMs = nowMs;
    if (lateMs >= minStallMs) this.#options.onStall(lateMs);
  }
}

/** Period of ticks. */
const periodMs = 100;

/** Shortest stall that is reported. */
const minStallMs = 250;
