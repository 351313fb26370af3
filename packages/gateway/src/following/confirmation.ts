import type { TimerService } from "@jasminetide/core/timers";

/**
 * Age of a state that is known to have been current at some time. Also counts
 * time in which the host was suspended, which the steady clock may leave out.
 */
export class Confirmation {
  readonly #timers: TimerService;
  #steadyMs = Number.NEGATIVE_INFINITY;
  #wallMs = 0;

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates the confirmation of a state that was never known. */
  static create(timers: TimerService): Confirmation {
    return new Confirmation(timers);
  }

  /** Records that the state was current `ageMs` ago. */
  record(ageMs = 0): void {
    if (ageMs >= this.getAgeMs()) return;
    this.#steadyMs = this.#timers.nowMs() - ageMs;
    this.#wallMs = this.#timers.wallMs() - ageMs;
  }

  /** Gets the age; infinite before the first confirmation. */
  getAgeMs(): number {
    const steadyAgeMs = this.#timers.nowMs() - this.#steadyMs;
    if (steadyAgeMs === Number.POSITIVE_INFINITY) return steadyAgeMs;
    // A clock that was set forward only makes the state seem older.
    return Math.max(steadyAgeMs, this.#timers.wallMs() - this.#wallMs);
  }
}
