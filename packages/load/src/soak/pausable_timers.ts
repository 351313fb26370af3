import type {
  TimerHandler,
  TimerService,
  TimerSubscription,
} from "@jasminetide/core/timers";

/** Timers of a process that can be paused; its clock continues to advance. */
export class PausableTimers implements TimerService {
  readonly #timers: TimerService;
  #pausedUntilMs = 0;

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates timers that are not paused. */
  static create(timers: TimerService): PausableTimers {
    return new PausableTimers(timers);
  }

  /**
   * Calls no handler before `untilMs`. One-shot timers that expire earlier are
   * delayed until then, and periodic ones skip their calls.
   */
  pause(untilMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  nowMs(): number {
    return this.#timers.nowMs();
  }

  wallMs(): number {
    return this.#timers.wallMs();
  }

  subscribe(periodMs: number, handler: TimerHandler): TimerSubscription {
    return this.#timers.subscribe(periodMs, (nowMs) => {
      if (nowMs >= this.#pausedUntilMs) handler(nowMs);
    });
  }

  schedule(delayMs: number, handler: TimerHandler): TimerSubscription {
    let timer = this.#timers.schedule(delayMs, (nowMs) => {
      const remainingMs = this.#pausedUntilMs - nowMs;
      if (remainingMs <= 0) handler(nowMs);
      else timer = this.schedule(remainingMs, handler);
    });
    return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
  }

  /** Waits for a duration, or until the pause ends if that is later. */
  wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(durationMs, () => resolve());
    });
  }
}
