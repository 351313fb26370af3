import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** Time limit of a silence watch and what it calls. */
export type SilenceWatchOptions = {
  timers: TimerService;
  limitMs: number;
  /** Called once when nothing was received for `limitMs`. */
  onSilence: () => void;
};

/**
 * Reports when nothing is received on a connection for some time. Activity only
 * updates a timestamp; the timer is not restarted each time.
 */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #limitMs: number;
  #lastActivityAtMs: number;
  #timer: TimerSubscription;

  private constructor(options: SilenceWatchOptions) {
    this.#options = options;
    this.#limitMs = options.limitMs;
    this.#lastActivityAtMs = options.timers.nowMs();
    this.#timer = this.#schedule(options.limitMs);
  }

  /** Starts to watch a connection. */
  static create(options: SilenceWatchOptions): SilenceWatch {
    return new SilenceWatch(options);
  }

  /** Records that something was received. */
  recordActivity(): void {
    this.#lastActivityAtMs = this.#options.timers.nowMs();
  }

  /** Sets a new limit, measured from now. */
  setLimit(limitMs: number): void {
    this.#limitMs = limitMs;
    this.#timer[Symbol.dispose]();
    this.#timer = this.#schedule(limitMs);
    this.recordActivity();
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  #schedule(delayMs: number): TimerSubscription {
    return this.#options.timers.schedule(
      delayMs,
      (nowMs) => this.#check(nowMs),
    );
  }

  #check(nowMs: number): void {
    const leftMs = this.#lastActivityAtMs + this.#limitMs - nowMs;
    if (leftMs > 0) this.#timer = this.#schedule(leftMs);
    else this.#options.onSilence();
  }
}
