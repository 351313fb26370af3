import type { Settings } from "@jasminetide/core/configuration";
import {
  CircuitBreaker,
  LatencyTracker,
  RetryBudget,
} from "@jasminetide/core/retries";

/** What a router has learnt of one pool. */
export type PoolState = {
  retries: RetryBudget;
  hedges: RetryBudget;
  circuit: CircuitBreaker;
  /** Times until the head of an answer. */
  firstBytes: LatencyTracker;
  /** Silences between chunks of an answer. */
  silences: LatencyTracker;
};

/** The pools that a router has sent requests to. */
export class PoolStates {
  readonly #states = new Map<string, PoolState>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): PoolStates {
    return new PoolStates();
  }

  /** Gets the state of a pool, made with the settings of its first request. */
  get(pool: string, settings: Settings): PoolState {
    let state = this.#states.get(pool);
    if (state === undefined) {
      state = createState(settings);
      this.#states.set(pool, state);
    }
    return state;
  }

  /** Forgets all pools, since budgets follow the configuration. */
  clear(): void {
    this.#states.clear();
  }
}

function createState(settings: Settings): PoolState {
  return {
    retries: RetryBudget.create({ ratio: settings.retry.budgetRatio }),
    hedges: RetryBudget.create({ ratio: settings.hedge.budgetRatio }),
    circuit: CircuitBreaker.create(),
    firstBytes: LatencyTracker.create(),
    silences: LatencyTracker.create(),
  };
}
