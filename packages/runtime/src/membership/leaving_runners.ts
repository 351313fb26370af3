import { assertInvariant } from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";

/** Time for which a runner first seen as leaving may still get new work. */
const dispatchGraceMs = 3000;

/** Tracks since when this process has seen each leaving runner as leaving. */
export class LeavingRunners {
  readonly #sinceMs = new Map<string, number>();

  private constructor() {}

  /** Creates a tracker without leaving runners. */
  static create(): LeavingRunners {
    return new LeavingRunners();
  }

  /** Updates the tracker with the current states of the runners. */
  observe(runners: Iterable<RunnerRow>, nowMs: number): void {
    for (const { id, state } of runners) {
      if (state !== "leaving") this.#sinceMs.delete(id);
      else if (!this.#sinceMs.has(id)) this.#sinceMs.set(id, nowMs);
    }
  }

  /** Asserts that a runner may still get new work. */
  assertDispatch(runner: string, nowMs: number): void {
    const sinceMs = this.#sinceMs.get(runner);
    if (sinceMs === undefined) return;
    const leavingMs = nowMs - sinceMs;
    assertInvariant(
      leavingMs <= dispatchGraceMs,
      "no-dispatch-to-leaving-runner",
      () =>
        `${runner} was first seen as leaving ${Math.round(leavingMs)} ms ago`,
    );
  }
}
