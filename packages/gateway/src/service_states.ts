import {
  CapacityForecast,
  type RetryLimits,
  ServiceTime,
  WindowedRetryBudget,
} from "@jasminetide/core/pools";
import { LatencyTracker } from "@jasminetide/core/retries";
import type { RequestKind } from "@jasminetide/core/routes";
import type { GatewaySettings } from "./settings.ts";

/** Options of the states of services. */
export type ServiceStatesOptions = {
  settings: Pick<GatewaySettings, "repeats">;
  /** Start of this process. */
  startedAtMs: number;
};

/** What a gateway has learned of each service, and what it may send there. */
export class ServiceStates {
  readonly #startedAtMs: number;
  readonly #firstByteTimes = new Map<string, LatencyTracker>();
  readonly #retryBudgets = new Map<string, WindowedRetryBudget>();
  readonly #serviceTimes = new Map<string, ServiceTime>();
  readonly #capacityForecasts = new Map<string, CapacityForecast>();
  #retryLimits: RetryLimits;

  private constructor({ settings, startedAtMs }: ServiceStatesOptions) {
    this.#startedAtMs = startedAtMs;
    this.#retryLimits = getRetryLimits(settings);
  }

  /** Creates the states of services of which nothing is known. */
  static create(options: ServiceStatesOptions): ServiceStates {
    return new ServiceStates(options);
  }

  /** Applies changed settings; what was counted before still counts. */
  applySettings(settings: ServiceStatesOptions["settings"]): void {
    this.#retryLimits = getRetryLimits(settings);
    for (const budget of this.#retryBudgets.values()) {
      budget.setLimits(this.#retryLimits);
    }
  }

  /** Gets the retry budget of a service. */
  getRetryBudget(service: string): WindowedRetryBudget {
    return getOrCreate(
      this.#retryBudgets,
      service,
      () =>
        WindowedRetryBudget.create({
          ...this.#retryLimits,
          startedAtMs: this.#startedAtMs,
        }),
    );
  }

  /** Gets the forecast of when runners of a service will have capacity. */
  getCapacityForecast(service: string): CapacityForecast {
    const create = () => CapacityForecast.create();
    return getOrCreate(this.#capacityForecasts, service, create);
  }

  /** Gets the time that runners of a service take for a plain request. */
  getServiceTime(service: string): ServiceTime {
    return getOrCreate(this.#serviceTimes, service, () => ServiceTime.create());
  }

  /** Gets the times to the first byte of a service's answers, by kind. */
  getFirstByteTimes(service: string, kind: RequestKind): LatencyTracker {
    const create = () => LatencyTracker.create({ windowMs: firstByteWindowMs });
    return getOrCreate(this.#firstByteTimes, `${service} ${kind}`, create);
  }
}

function getRetryLimits(
  { repeats }: ServiceStatesOptions["settings"],
): RetryLimits {
  const { ratio, slack, windowSeconds } = repeats;
  return { ratio, slack, windowMs: windowSeconds * 1000 };
}

function getOrCreate<Value>(
  values: Map<string, Value>,
  key: string,
  create: () => Value,
): Value {
  const known = values.get(key);
  if (known !== undefined) return known;
  const created = create();
  values.set(key, created);
  return created;
}

/**
 * Window of the times to the first byte; short, because overload shows in them
 * within seconds.
 */
const firstByteWindowMs = 5000;
