/** How one request at a runner ended, as far as the runner's health goes. */
export type RunnerOutcome =
  | "succeeded"
  /** It answered with an error of its own or refused unrun. */
  | "failed"
  /** The connection broke or nothing was heard in time. */
  | "lost";

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

  /** Takes in how a request ended. */
  observe(outcome: RunnerOutcome, nowMs: number): void {
    const share = this.getFailureShare(nowMs);
    const failure = outcome === "succeeded" ? 0 : 1;
    this.#failureShare = share + outcomeWeight * (failure - share);
    this.#observedAtMs = nowMs;
    if (outcome !== "lost") {
      this.#lostInARow = 0;
      if (outcome === "succeeded") this.#avoidedUntilMs = 0;
      return;
    }
    this.#lostInARow += 1;
    if (this.#lostInARow < lostBeforeAvoiding) return;
    const doublings = Math.min(this.#lostInARow - lostBeforeAvoiding, 3);
    this.#avoidedUntilMs = nowMs + firstAvoidanceMs * 2 ** doublings;
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
