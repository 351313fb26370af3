import { type HedgeLimits, HedgePolicy } from "@jasminetide/core/hedging";
import type { GatewaySettings } from "./settings.ts";

/** Settings on which hedges depend. */
export type HedgeSettings = Pick<GatewaySettings, "hedging">;

/** Hedges of one service within the window, for state dumps. */
export type HedgeSnapshot = {
  service: string;
  requests: number;
  hedges: number;
};

/** Policies of the hedges of all services; none while hedging is off. */
export class HedgePolicies {
  readonly #policies = new Map<string, HedgePolicy>();
  #limits: HedgeLimits | undefined;

  private constructor(settings: HedgeSettings) {
    this.#limits = getLimits(settings);
  }

  /** Creates policies by the settings of a gateway. */
  static create(settings: HedgeSettings): HedgePolicies {
    return new HedgePolicies(settings);
  }

  /** Gets the policy of a service; undefined if nothing is hedged. */
  get(service: string): HedgePolicy | undefined {
    if (this.#limits === undefined) return undefined;
    let policy = this.#policies.get(service);
    if (policy === undefined) {
      policy = HedgePolicy.create(this.#limits);
      this.#policies.set(service, policy);
    }
    return policy;
  }

  /** Applies changed settings; what was counted before still counts. */
  applySettings(settings: HedgeSettings): void {
    this.#limits = getLimits(settings);
    if (this.#limits === undefined) return;
    for (const policy of this.#policies.values()) {
      policy.setLimits(this.#limits);
    }
  }

  /** Gets the limits and the use of each service's budget; null if off. */
  getSnapshot(
    nowMs: number,
  ): HedgeLimits & { services: HedgeSnapshot[] } | null {
    if (this.#limits === undefined) return null;
    const services = [...this.#policies].map(([service, policy]) => ({
      service,
      ...policy.getUse(nowMs),
    }));
    return { ...this.#limits, services };
  }
}

function getLimits({ hedging }: HedgeSettings): HedgeLimits | undefined {
  if (hedging === undefined || hedging.maxShare === 0) return undefined;
  const { maxShare, quantile, windowSeconds } = hedging;
  return { maxShare, quantile, windowMs: windowSeconds * 1000 };
}
