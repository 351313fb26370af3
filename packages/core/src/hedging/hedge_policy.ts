import { getHedgeDelayMs, LatencyTracker } from "../retries/mod.ts";
import { HedgeBudget, type HedgeShare, type HedgeUse } from "./hedge_budget.ts";

/** Settings of the hedges of a service. */
export type HedgeLimits = HedgeShare & {
  /** Quantile of a route's answers after which a request is late, 0 to 1. */
  quantile: number;
};

/** Why a late request gets no second attempt. */
export type HedgeRefusal =
  /** The operator's share of hedges is used up. */
  | "hedge budget used up"
  /** Retries may need what is left of their budget. */
  | "retry budget short"
  /** A runner of the service refused a request lately. */
  | "runners refuse"
  /** The answer may have arrived and not been read yet. */
  | "event loop late";

/** State on which a hedge depends, besides what its service's policy counts. */
export type HedgeSituation = {
  nowMs: number;
  /** Whether half of the retry budget of the service is left. */
  hasRetriesToSpare: boolean;
  /** Time by which the timer that noticed the late request was late. */
  timerDelayMs: number;
};

/**
 * Decides when a request of one service is late and whether it may get a second
 * attempt then. Hedges take what retries do not need, and none is sent to a
 * service that turns requests away, since extra work must not make a queue.
 */
export class HedgePolicy {
  #limits: HedgeLimits;
  readonly #budget: HedgeBudget;
  /** Times to the whole answer, by route. */
  readonly #answerTimes = new Map<string, LatencyTracker>();
  #refusedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(limits: HedgeLimits) {
    this.#limits = limits;
    this.#budget = HedgeBudget.create(limits);
  }

  /** Creates a policy that knows no answers yet. */
  static create(limits: HedgeLimits): HedgePolicy {
    return new HedgePolicy(limits);
  }

  /** Sets new limits; what was counted and observed stays. */
  setLimits(limits: HedgeLimits): void {
    this.#limits = limits;
    this.#budget.setShare(limits);
  }

  /** Records a request of the service, hedged or not, of any kind. */
  recordRequest(nowMs: number): void {
    this.#budget.recordRequest(nowMs);
  }

  /** Records that a runner refused a request as not run. */
  recordRefusal(nowMs: number): void {
    this.#refusedAtMs = nowMs;
  }

  /**
   * Records the time from the first attempt to the whole answer. It includes
   * hedged requests, or else the quantile would sink with each hedge that wins.
   */
  recordAnswer(
    route: string,
    { durationMs, nowMs }: { durationMs: number; nowMs: number },
  ): void {
    let times = this.#answerTimes.get(route);
    if (times === undefined) {
      if (this.#answerTimes.size >= maxRoutes) this.#answerTimes.clear();
      times = LatencyTracker.create({ windowMs: answerWindowMs });
      this.#answerTimes.set(route, times);
    }
    times.record(durationMs, nowMs);
  }

  /**
   * Gets the time after which a request of a route is late; undefined while too
   * few of its answers are known.
   */
  getDelayMs(route: string, nowMs: number): number | undefined {
    const times = this.#answerTimes.get(route);
    if (times === undefined) return undefined;
    const afterQuantile = this.#limits.quantile;
    return getHedgeDelayMs(times, { hedge: { afterQuantile }, nowMs });
  }

  /** Gets why a late request gets no hedge; undefined if it may get one. */
  findRefusal(situation: HedgeSituation): HedgeRefusal | undefined {
    const { hasRetriesToSpare, nowMs, timerDelayMs } = situation;
    if (timerDelayMs > maxTimerDelayMs) return "event loop late";
    if (nowMs - this.#refusedAtMs < refusalMemoryMs) return "runners refuse";
    if (!hasRetriesToSpare) return "retry budget short";
    return this.#budget.hasLeft(nowMs) ? undefined : "hedge budget used up";
  }

  /** Records a hedge that was sent. */
  recordHedge(nowMs: number): void {
    this.#budget.recordHedge(nowMs);
  }

  /** Gets what counts against the limit, for state dumps. */
  getUse(nowMs: number): HedgeUse {
    return this.#budget.getUse(nowMs);
  }
}

/** Age up to which answers decide what is late, in two windows. */
const answerWindowMs = 60_000;

/** Lateness of a timer beyond which answers may lie unread. */
const maxTimerDelayMs = 25;

/** Time for which a refusal means that the service has no room. */
const refusalMemoryMs = 1000;

/** Limit on the routes whose answers are remembered. */
const maxRoutes = 10_000;
