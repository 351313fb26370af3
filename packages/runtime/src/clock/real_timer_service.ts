import type {
  TimerHandler,
  TimerService,
  TimerSubscription,
} from "@jasminetide/core/timers";
import { startTimeout } from "./start_timeout.ts";

/** Timer service on the clock and the event loop of this process. */
export class RealTimerService implements TimerService {
  readonly #originMs = Date.now() - performance.now();

  private constructor() {}

  /** Creates the timer service of a process. */
  static create(): RealTimerService {
    return new RealTimerService();
  }

  nowMs(): number {
    return this.#originMs + performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  subscribe(periodMs: number, handler: TimerHandler): TimerSubscription {
    const timer = setInterval(() => handler(this.nowMs()), periodMs);
    timer.unref();
    return { [Symbol.dispose]: () => clearInterval(timer) };
  }

  schedule(delayMs: number, handler: TimerHandler): TimerSubscription {
    return startTimeout(delayMs, () => handler(this.nowMs()));
  }
}
