import type { KnownRouters } from "../hashing/mod.ts";
import type { SharedLimit } from "./limit_share.ts";

/** Computes this router's share of a limit. */
export type ComputeShare = (
  limit: SharedLimit,
  routers: KnownRouters,
) => number;

/**
 * Share of the limit of one runner, computed anew only when the limit or the
 * known routers change, since each decision asks for the shares of all runners.
 */
export class KnownShare {
  readonly #compute: ComputeShare;
  #known: SharedLimit & { routers: KnownRouters; share: number } | undefined;

  private constructor(compute: ComputeShare) {
    this.#compute = compute;
  }

  /** Creates a share that is not known yet. */
  static create(compute: ComputeShare): KnownShare {
    return new KnownShare(compute);
  }

  /** Gets the share; `routers` is another object whenever they change. */
  get({ perSecond, runnerHash }: SharedLimit, routers: KnownRouters): number {
    const known = this.#known;
    const isKnown = known?.routers === routers &&
      known.perSecond === perSecond && known.runnerHash === runnerHash;
    if (isKnown) return known.share;
    const share = this.#compute({ perSecond, runnerHash }, routers);
    this.#known = { perSecond, runnerHash, routers, share };
    return share;
  }
}
