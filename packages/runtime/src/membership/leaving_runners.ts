import { assertInvariant } from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";

/** Time after which a runner that is known to leave gets no new work. */
const maximumDispatchMs = 3000;

/** Remembers since when runners are known to leave. */
export class LeavingRunners {
  readonly #sinceMs = new Map<string, number>();

  private constructor() {}

  /** Creates a memory of no leaving runner. */
  static create(): LeavingRunners {
    return new LeavingRunners();
  }

  /** Takes in the states that runners have now. */
  observe(runners: Iterable<RunnerRow>, nowMs: number): void {
    for (const { id, state } of runners) {
      if (state !== "leaving") this.#sinceMs.delete(id);
      else if (!this.#sinceMs.has(id)) this.#sinceMs.set(id, nowMs);
    }
  }

  /** Asserts that new work may still be sent to a runner. */
  assertDispatch(runner: string, nowMs: number): void {
    const sinceMs = this.#sinceMs.get(runner);
    if (sinceMs === undefined) return;
    const knownMs = nowMs - sinceMs;
    assertInvariant(
      knownMs <= maximumDispatchMs,
      "no-dispatch-to-leaving-runner",
      () => `${runner} is known to leave for ${Math.round(knownMs)} ms`,
    );
  }
}
