import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** When silence is reported. */
export type SilenceWatchOptions = {
  timers: TimerService;
  limitMs: number;
  /** Called once when nothing was heard for `limitMs`. */
  onSilence: () => void;
};

/**
 * Reports silence on a connection. One timer serves the whole life of the
 * connection, however often something is heard.
 */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #limitMs: number;
  #heardAtMs: number;
  #timer: TimerSubscription;

  private constructor(options: SilenceWatchOptions) {
    this.#options = options;
    this.#limitMs = options.limitMs;
    this.#heardAtMs = options.timers.nowMs();
    this.#timer = this.#schedule(options.limitMs);
  }

  /** Starts a watch. */
  static create(options: SilenceWatchOptions): SilenceWatch {
    return new SilenceWatch(options);
  }

  /** Records that something was heard. */
  record(): void {
    this.#heardAtMs = this.#options.timers.nowMs();
  }

  /** Sets a new limit, which holds from now on. */
  setLimit(limitMs: number): void {
    this.#limitMs = limitMs;
    this.#timer[Symbol.dispose]();
    this.#timer = this.#schedule(limitMs);
    this.record();
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
    const leftMs = this.#heardAtMs + this.#limitMs - nowMs;
    if (leftMs > 0) this.#timer = this.#schedule(leftMs);
    else this.#options.onSilence();
  }
}
