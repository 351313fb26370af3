import { LRUCache } from "lru-cache";
import type { WorkspaceId } from "../tables/mod.ts";
import {
  addScaledQuota,
  createEmptyQuota,
  getNonNegativeQuota,
  getSmallerQuota,
  type Quota,
  type QuotaRate,
} from "./quota.ts";

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

type Bucket = { level: Quota; updatedAtMs: number };

/** Time over which unused quota of a workspace accumulates. */
export const quotaBurstMs = 1000;

/**
 * Grants quota of the workspaces that this process owns, from one token bucket
 * per workspace. A bucket starts empty, so that a change of owner does not allow
 * a second burst.
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

  /** Grants as much of the request as is left and counts it as used. */
  grant(options: QuotaGrantOptions): Quota {
    const bucket = this.#refill(options);
    const granted = getNonNegativeQuota(
      getSmallerQuota(options.wanted, bucket.level),
    );
    addScaledQuota(bucket.level, { by: granted, factor: -1 });
    return granted;
  }

  #refill(options: QuotaGrantOptions): Bucket {
    const { nowMs, rate, workspace } = options;
    const bucket = this.#buckets.get(workspace) ??
      { level: createEmptyQuota(), updatedAtMs: nowMs };
    const elapsedSeconds = Math.max(0, nowMs - bucket.updatedAtMs) / 1000;
    addScaledQuota(bucket.level, { by: rate, factor: elapsedSeconds });
    const burst = createEmptyQuota();
    addScaledQuota(burst, { by: rate, factor: quotaBurstMs / 1000 });
    bucket.level = getSmallerQuota(bucket.level, burst);
    bucket.updatedAtMs = Math.max(nowMs, bucket.updatedAtMs);
    this.#buckets.set(workspace, bucket);
    return bucket;
  }
}
