import { LRUCache } from "lru-cache";
import type { WorkspaceId } from "../tables/mod.ts";
import {
  createEmptyQuota,
  getPositiveQuota,
  getSmallerQuota,
  type Quota,
  type QuotaRate,
  updateQuota,
} from "./quota.ts";

/** Bounds of what one owner keeps. */
export type QuotaOwnerOptions = { maximumWorkspaces: number };

/** A router's wish for quota of a workspace. */
export type QuotaWish = {
  workspace: WorkspaceId;
  /** Amounts that the router has used in advance or expects to use soon. */
  wanted: Quota;
  /** Limits in force. */
  rate: QuotaRate;
  nowMs: number;
};

type Bucket = { level: Quota; updatedAtMs: number };

/** Time for which unused quota of a workspace accumulates. */
export const quotaBurstMs = 1000;

/**
 * Grants the quota of the workspaces that this process owns. A bucket starts
 * empty, so that a change of owner yields no second burst.
 */
export class QuotaOwner {
  readonly #buckets: LRUCache<WorkspaceId, Bucket>;

  private constructor(options: QuotaOwnerOptions) {
    this.#buckets = new LRUCache({ max: options.maximumWorkspaces });
  }

  /** Creates an owner that has granted nothing. */
  static create(options: QuotaOwnerOptions): QuotaOwner {
    return new QuotaOwner(options);
  }

  /** Grants what is left of a wish; the grant counts as used. */
  grant(wish: QuotaWish): Quota {
    const bucket = this.#fill(wish);
    const granted = getPositiveQuota(
      getSmallerQuota(wish.wanted, bucket.level),
    );
    updateQuota(bucket.level, { by: granted, factor: -1 });
    return granted;
  }

  #fill(wish: QuotaWish): Bucket {
    const { nowMs, rate, workspace } = wish;
    const bucket = this.#buckets.get(workspace) ??
      { level: createEmptyQuota(), updatedAtMs: nowMs };
    const elapsedSeconds = Math.max(0, nowMs - bucket.updatedAtMs) / 1000;
    updateQuota(bucket.level, { by: rate, factor: elapsedSeconds });
    const burst = createEmptyQuota();
    updateQuota(burst, { by: rate, factor: quotaBurstMs / 1000 });
    bucket.level = getSmallerQuota(bucket.level, burst);
    bucket.updatedAtMs = Math.max(nowMs, bucket.updatedAtMs);
    this.#buckets.set(workspace, bucket);
    return bucket;
  }
}
