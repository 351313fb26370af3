import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** A silence that exceeded its limit. */
export type Silence = {
  /** Time since something was received. */
  silentMs: number;
  /** Time by which the timer that noticed it was late. */
  timerDelayMs: number;
};

/** Time limit of a silence watch and what it calls. */
export type SilenceWatchOptions = {
  timers: TimerService;
  limitMs: number;
  /** Called once when nothing was received for `limitMs`. */
  onSilence: (silence: Silence) => void;
};

/**
 * Reports when nothing is received on a connection for some time. Activity only
 * updates a timestamp; the timer is not restarted each time.
 */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #limitMs: number;
  #lastActivityAtMs: number;
  /** Time at which the timer is due. */
  #dueAtMs = 0;
  #timer: TimerSubscription;
  #isPaused = false;

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

  /**
   * Pauses or resumes the watch. It is paused while this process does not read;
   * the limit is then measured from the end of the pause.
   */
  setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    if (!isPaused) this.recordActivity();
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
    this.#dueAtMs = this.#options.timers.nowMs() + delayMs;
    return this.#options.timers.schedule(
      delayMs,
      (nowMs) => this.#check(nowMs),
    );
  }

  #check(nowMs: number): void {
    const silentMs = this.#isPaused ? 0 : nowMs - this.#lastActivityAtMs;
    const leftMs = this.#limitMs - silentMs;
    if (leftMs > 0) {
      this.#timer = this.#schedule(leftMs);
      return;
    }
    const timerDelayMs = Math.max(0, nowMs - this.#dueAtMs);
    this.#options.onSilence({ silentMs, timerDelayMs });
  }
}
