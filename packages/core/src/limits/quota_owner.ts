import { LRUCache } from "lru-cache";
import type { WorkspaceId } from "../tables/mod.ts";
import {
  addScaledQuota,
  createEmptyQuota,
  type Quota,
  type QuotaRate,
} from "./quota.ts";
import { QuotaBucket } from "./quota_bucket.ts";

/** Bounds on the memory of one owner. */
export type QuotaOwnerOptions = { maximumWorkspaces: number };

/** A router's request for quota, with the limits of the workspace. */
export type QuotaGrantOptions = {
  workspace: WorkspaceId;
  /** Quota that the router has used in advance or expects to use soon. */
  wanted: Quota;
  /** Current limits of the workspace. */
  rate: QuotaRate;
  nowMs: number;
};

/** Time over which unused quota of a workspace accumulates. */
export const quotaBurstMs = 1000;

/**
 * Grants quota of the workspaces that this process owns, from one token bucket
 * per workspace. A bucket starts empty, so that a change of owner does not allow
 * a second burst.
 */
export class QuotaOwner {
  readonly #buckets: LRUCache<WorkspaceId, QuotaBucket>;

  private constructor(options: QuotaOwnerOptions) {
    this.#buckets = new LRUCache({ max: options.maximumWorkspaces });
  }

  /** Creates an owner that has granted nothing. */
  static create(options: QuotaOwnerOptions): QuotaOwner {
    return new QuotaOwner(options);
  }

  /** Grants as much of the request as is left and counts it as used. */
  grant({ nowMs, rate, wanted, workspace }: QuotaGrantOptions): Quota {
    const bucket = this.#buckets.get(workspace) ?? QuotaBucket.create(nowMs);
    this.#buckets.set(workspace, bucket);
    const burst = createEmptyQuota();
    addScaledQuota(burst, { by: rate, factor: quotaBurstMs / 1000 });
    bucket.refill({ rate, burst, nowMs });
    return bucket.take(wanted);
  }
}
