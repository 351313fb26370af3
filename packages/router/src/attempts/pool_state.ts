import type { Settings } from "@jasminetide/core/configuration";
import { HedgePolicy } from "@jasminetide/core/hedging";
import {
  CircuitBreaker,
  LatencyTracker,
  RetryBudget,
} from "@jasminetide/core/retries";

/** Retry, hedging and latency state that a router keeps for one pool. */
export type PoolState = {
  retries: RetryBudget;
  hedges: HedgePolicy;
  circuit: CircuitBreaker;
  /** Times from sending an attempt to the head of its answer. */
  firstByteTimes: LatencyTracker;
  /** Silences between chunks of an answer. */
  silences: LatencyTracker;
};

/** States of the pools that a router has sent requests to. */
export class PoolStates {
  readonly #states = new Map<string, PoolState>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): PoolStates {
    return new PoolStates();
  }

  /**
   * Gets the state of a pool. It is created with the settings of the first
   * request.
   */
  get(pool: string, settings: Settings): PoolState {
    let state = this.#states.get(pool);
    if (state === undefined) {
      state = createState(settings);
      this.#states.set(pool, state);
    }
    return state;
  }

  /** Removes all states, since the configuration sets their budgets. */
  clear(): void {
    this.#states.clear();
  }
}

function createState(settings: Settings): PoolState {
  return {
    retries: RetryBudget.create({ ratio: settings.retry.budgetRatio }),
    hedges: HedgePolicy.create({
      maxShare: settings.hedge.budgetRatio,
      quantile: settings.hedge.afterQuantile,
      windowMs: hedgeWindowMs,
    }),
    circuit: CircuitBreaker.create(),
    firstByteTimes: LatencyTracker.create(),
    silences: LatencyTracker.create(),
  };
}

/** Sliding window in which hedges are limited to a share of the requests. */
const hedgeWindowMs = 60_000;
