import { AppError } from "../results/mod.ts";
import type { TimerService } from "../timers/mod.ts";
import type { HeldRequest, PeakHold } from "./peak_hold.ts";

/** Options of a peak gate. */
export type PeakGateOptions = {
  hold: PeakHold;
  timers: TimerService;
  /** Gets the number of requests that may be held at once. */
  getMaximumHeld: () => number;
};

/** Callbacks that settle the wait of one request. */
type Waiter = { resolve: () => void; reject: (reason: unknown) => void };

/** Time between two checks for held requests that may be released. */
const releasePeriodMs = 250;

/** Retry delay of a refusal because too many requests are held. */
const retryAfterMs = 60_000;

/** Makes deferrable requests wait until the hold releases them. */
export class PeakGate {
  readonly hold: PeakHold;
  readonly #timers: TimerService;
  readonly #getMaximumHeld: () => number;
  readonly #waiters = new Map<string, Waiter>();
  #nextRelease: Disposable | undefined;

  private constructor(options: PeakGateOptions) {
    this.hold = options.hold;
    this.#timers = options.timers;
    this.#getMaximumHeld = options.getMaximumHeld;
  }

  /** Creates a gate without waiting requests. */
  static create(options: PeakGateOptions): PeakGate {
    return new PeakGate(options);
  }

  /**
   * Waits until a deferrable request may run.
   *
   * @throws AppError `overloaded`, `callerGone` or `runnerLeaving`; the request
   * was not run.
   */
  wait(request: HeldRequest, signal: AbortSignal): Promise<void> {
    if (this.hold.size >= this.#getMaximumHeld()) {
      return Promise.reject(
        AppError.create(
          "overloaded",
          `Too many requests are held: ${this.hold.size}`,
          { retryAfterMs },
        ),
      );
    }
    return new Promise((resolve, reject) => {
      const abandon = () =>
        this.#refuse(
          request.id,
          AppError.create("callerGone", "Request was cancelled while held", {
            executed: "no",
          }),
        );
      signal.addEventListener("abort", abandon, { once: true });
      const stop = () => signal.removeEventListener("abort", abandon);
      this.#waiters.set(request.id, {
        resolve: () => (stop(), resolve()),
        reject: (reason) => (stop(), reject(reason)),
      });
      this.hold.add(request);
      if (signal.aborted) abandon();
      else this.#release();
    });
  }

  /** Refuses all held requests, so that routers send them elsewhere. */
  refuseAll(): void {
    for (const id of [...this.#waiters.keys()]) {
      this.#refuse(
        id,
        AppError.create("runnerLeaving", "Runner takes no new work"),
      );
    }
  }

  #refuse(id: string, reason: AppError): void {
    this.hold.remove(id);
    this.#take(id)?.reject(reason);
    this.#schedule();
  }

  #release(): void {
    for (const { id } of this.hold.release(this.#timers.nowMs())) {
      this.#take(id)?.resolve();
    }
    this.#schedule();
  }

  #take(id: string): Waiter | undefined {
    const waiter = this.#waiters.get(id);
    this.#waiters.delete(id);
    return waiter;
  }

  #schedule(): void {
    this.#nextRelease?.[Symbol.dispose]();
    this.#nextRelease = this.hold.size === 0
      ? undefined
      : this.#timers.schedule(releasePeriodMs, () => this.#release());
  }
}
