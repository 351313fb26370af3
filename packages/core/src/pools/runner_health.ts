/** How one request at a runner ended, as far as the runner's health goes. */
export type RunnerOutcome =
  | "succeeded"
  /** It answered with an error of its own or refused unrun. */
  | "failed"
  /** The connection broke or nothing was heard in time. */
  | "lost";

/** A change of what is believed of a runner. */
export type HealthChange =
  /** New work goes elsewhere if it can, for a while. */
  | { type: "avoided"; lostInARow: number; durationMs: number }
  /** It has answered again before that was over. */
  | { type: "trusted" };

/**
 * Judges a runner by the requests that this router sent to it. Health checks
 * play no part, since a runner may pass them and fail its requests.
 */
export class RunnerHealth {
  #failureShare = 0;
  #observedAtMs = 0;
  #lostInARow = 0;
  #avoidedUntilMs = 0;

  private constructor() {}

  /** Creates the health of a runner that has done no wrong. */
  static create(): RunnerHealth {
    return new RunnerHealth();
  }

  /** Takes in how a request ended; says whether that changes the belief. */
  observe(outcome: RunnerOutcome, nowMs: number): HealthChange | undefined {
    const wasAvoided = this.isAvoided(nowMs);
    const share = this.getFailureShare(nowMs);
    const failure = outcome === "succeeded" ? 0 : 1;
    this.#failureShare = share + outcomeWeight * (failure - share);
    this.#observedAtMs = nowMs;
    if (outcome !== "lost") {
      this.#lostInARow = 0;
      if (outcome === "failed") return undefined;
      this.#avoidedUntilMs = 0;
      return wasAvoided ? { type: "trusted" } : undefined;
    }
    this.#lostInARow += 1;
    if (this.#lostInARow < lostBeforeAvoiding) return undefined;
    const doublings = Math.min(this.#lostInARow - lostBeforeAvoiding, 3);
    const durationMs = firstAvoidanceMs * 2 ** doublings;
    this.#avoidedUntilMs = nowMs + durationMs;
    if (wasAvoided) return undefined;
    return { type: "avoided", lostInARow: this.#lostInARow, durationMs };
  }

  /** Whether new work should go elsewhere if it can. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this.#avoidedUntilMs;
  }

  /** Recent share of requests that failed, which fades with time. */
  getFailureShare(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#observedAtMs);
    return this.#failureShare * 0.5 ** (ageMs / failureHalfLifeMs);
  }
}

/** Weight of the newest outcome in the share of failures. */
const outcomeWeight = 0.15;

/** Time in which a past failure loses half of its weight. */
const failureHalfLifeMs = 2000;

/** One loss may be a lost packet; two in a row speak of the runner. */
const lostBeforeAvoiding = 2;

const firstAvoidanceMs = 500;
