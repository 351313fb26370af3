/** Outcome of a request as it affects the health of its runner. */
export type RunnerOutcome =
  | "succeeded"
  /** The runner answered with an error or refused to run the request. */
  | "failed"
  /** Another runner, to which the request was sent later, answered first. */
  | "late"
  /** The connection broke or no data arrived in time. */
  | "lost";

/** A change of whether a runner is avoided. */
export type HealthChange =
  /** New requests go to other runners, if possible, for a limited time. */
  | { type: "avoided"; lostInARow: number; durationMs: number }
  /** The runner answered a request before that time was over. */
  | { type: "trusted" };

/**
 * Tracks the health of a runner from the outcomes of this router's requests.
 * Health checks are not used, since a runner may pass them and still fail its
 * requests.
 */
export class RunnerHealth {
  #failureShare = 0;
  #observedAtMs = 0;
  #lostInARow = 0;
  #avoidedUntilMs = 0;

  private constructor() {}

  /** Creates the health of a runner without recorded failures. */
  static create(): RunnerHealth {
    return new RunnerHealth();
  }

  /**
   * Records the outcome of a request.
   *
   * @returns the change if the outcome makes the runner avoided or trusted.
   */
  observe(outcome: RunnerOutcome, nowMs: number): HealthChange | undefined {
    const wasAvoided = this.isAvoided(nowMs);
    const share = this.getFailureShare(nowMs);
    const failure = outcome === "succeeded" ? 0 : 1;
    this.#failureShare = share + outcomeWeight * (failure - share);
    this.#observedAtMs = nowMs;
    if (outcome === "succeeded" || outcome === "failed") {
      this.#lostInARow = 0;
      if (outcome === "failed") return undefined;
      this.#avoidedUntilMs = 0;
      return wasAvoided ? { type: "trusted" } : undefined;
    }
    this.#lostInARow += outcome === "late" ? lateWeight : 1;
    if (this.#lostInARow < avoidanceThreshold) return undefined;
    const excess = Math.floor(this.#lostInARow - avoidanceThreshold);
    const doublings = Math.min(excess, 3);
    const durationMs = firstAvoidanceMs * 2 ** doublings;
    this.#avoidedUntilMs = nowMs + durationMs;
    if (wasAvoided) return undefined;
    return { type: "avoided", lostInARow: this.#lostInARow, durationMs };
  }

  /** Checks whether new requests should go to other runners if possible. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this.#avoidedUntilMs;
  }

  /** Gets the recent share of failed requests, which decays over time. */
  getFailureShare(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#observedAtMs);
    return this.#failureShare * 0.5 ** (ageMs / failureHalfLifeMs);
  }
}

/** Weight of the newest outcome in the moving average of failures. */
const outcomeWeight = 0.15;

/** Time in which the share of failures decays to half. */
const failureHalfLifeMs = 2000;

/**
 * Lost requests in a row from which a runner is avoided. A single one may be due
 * to a lost packet, two in a row indicate a fault of the runner.
 */
const avoidanceThreshold = 2;

/** Duration of the first avoidance; each further loss doubles it, up to 8x. */
const firstAvoidanceMs = 500;

/**
 * Lost requests as which a late one counts: the runner may be slow, or lost and
 * known as such only after its limit on silence.
 */
const lateWeight = 0.5;
