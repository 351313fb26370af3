import type {
  TimerHandler,
  TimerService,
  TimerSubscription,
} from "@jasminetide/core/timers";

/** The timers of a process that can be paused; its clock goes on. */
export class PausableTimers implements TimerService {
  readonly #timers: TimerService;
  #pausedUntilMs = 0;

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates timers that run. */
  static create(timers: TimerService): PausableTimers {
    return new PausableTimers(timers);
  }

  /** Calls no handler until a time; what falls due then waits. */
  pause(untilMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  nowMs(): number {
    return this.#timers.nowMs();
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

  /** Waits for a duration, and while paused for longer. */
  wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(durationMs, () => resolve());
    });
  }
}
