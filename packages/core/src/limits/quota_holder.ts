import { LRUCache } from "lru-cache";
import type { WorkspaceId } from "../tables/mod.ts";
import {
  addScaledQuota,
  createEmptyQuota,
  getNonNegativeQuota,
  type Quota,
} from "./quota.ts";

/** Bounds on the memory of one holder. */
export type QuotaHolderOptions = { maximumWorkspaces: number };

/** Use of quota by one request. */
export type QuotaUse = {
  workspace: WorkspaceId;
  tokens: number;
  nowMs: number;
  /**
   * Quota that may be used before it is granted. While nothing is owed, a
   * single request may exceed it.
   */
  advance?: Quota;
};

/** Quota that a holder requests from the owner of a workspace. */
export type QuotaRequest = { workspace: WorkspaceId; wanted: Quota };

type Grant = { left: Quota; expiresAtMs: number };

type HolderRow = {
  grants: Grant[];
  /** Quota used before it was granted. */
  debt: Quota;
  /** Quota demanded since the last quota request, refused requests included. */
  demand: Quota;
  /** Advance that the latest use allowed. */
  advance: Quota;
};

/** Debt up to this amount is a rounding error and counts as none. */
const debtTolerance = 1e-6;

/** Share of the advance up to which debt alone causes no quota request. */
const debtThreshold = 0.5;

/** Share of the advance up to which demand alone causes no quota request. */
const demandThreshold = 0.25;

/** Time for which a grant may be used. */
export const quotaGrantLifetimeMs = 1000;

/**
 * The quota that one router holds. A request is admitted from unexpired grants
 * or else in advance, so that a workspace with little traffic does not wait for
 * a grant. A single request, or as much as `QuotaUse.advance` allows, is
 * admitted in advance; later grants pay for it.
 */
export class QuotaHolder {
  readonly #rows: LRUCache<WorkspaceId, HolderRow>;

  private constructor(options: QuotaHolderOptions) {
    this.#rows = new LRUCache({ max: options.maximumWorkspaces });
  }

  /** Creates a holder without grants. */
  static create(options: QuotaHolderOptions): QuotaHolder {
    return new QuotaHolder(options);
  }

  /**
   * Admits a request if the workspace has quota at this router.
   *
   * @returns whether the request was admitted.
   */
  tryAdmit(use: QuotaUse): boolean {
    const row = this.#getRow(use.workspace);
    const cost = { requests: 1, tokens: use.tokens };
    addScaledQuota(row.demand, { by: cost, factor: 1 });
    row.advance = use.advance ?? createEmptyQuota();
    row.grants = row.grants.filter((grant) => grant.expiresAtMs > use.nowMs);
    const held = getHeld(row);
    if (held.requests >= cost.requests && held.tokens >= cost.tokens) {
      takeFromGrants(row, cost);
      return true;
    }
    if (!canUseAdvance(row, cost)) return false;
    addScaledQuota(row.debt, { by: cost, factor: 1 });
    return true;
  }

  /**
   * Takes the quota to request from the owners and resets the demand. Skips
   * workspaces whose debt and demand are low compared with their advance.
   */
  takeQuotaRequests(): QuotaRequest[] {
    const requests: QuotaRequest[] = [];
    for (const [workspace, row] of this.#rows.entries()) {
      const isLow = isBelowThresholds(row);
      const wanted = { ...row.demand };
      addScaledQuota(wanted, { by: row.debt, factor: 1 });
      addScaledQuota(wanted, { by: getHeld(row), factor: -1 });
      row.demand = createEmptyQuota();
      if (isLow) continue;
      const nonNegative = getNonNegativeQuota(wanted);
      if (nonNegative.requests + nonNegative.tokens === 0) continue;
      requests.push({ workspace, wanted: nonNegative });
    }
    return requests;
  }

  /** Adds a grant, after paying the debt of the workspace from it. */
  applyGrant(
    workspace: WorkspaceId,
    grant: { quota: Quota; nowMs: number },
  ): void {
    const row = this.#getRow(workspace);
    const left = { ...grant.quota };
    const paid = {
      requests: Math.min(left.requests, row.debt.requests),
      tokens: Math.min(left.tokens, row.debt.tokens),
    };
    addScaledQuota(left, { by: paid, factor: -1 });
    addScaledQuota(row.debt, { by: paid, factor: -1 });
    row.grants.push({ left, expiresAtMs: grant.nowMs + quotaGrantLifetimeMs });
  }

  #getRow(workspace: WorkspaceId): HolderRow {
    const known = this.#rows.get(workspace);
    if (known !== undefined) return known;
    const row = {
      grants: [],
      debt: createEmptyQuota(),
      demand: createEmptyQuota(),
      advance: createEmptyQuota(),
    };
    this.#rows.set(workspace, row);
    return row;
  }
}

/** Checks whether a request may be admitted before its quota is granted. */
function canUseAdvance(row: HolderRow, cost: Quota): boolean {
  const { advance, debt } = row;
  if (Math.max(debt.requests, debt.tokens) <= debtTolerance) return true;
  return debt.requests + cost.requests <= advance.requests &&
    debt.tokens + cost.tokens <= advance.tokens;
}

/** Checks whether debt and demand are too low for a quota request. */
function isBelowThresholds({ advance, debt, demand }: HolderRow): boolean {
  return debt.requests <= advance.requests * debtThreshold &&
    debt.tokens <= advance.tokens * debtThreshold &&
    demand.requests <= advance.requests * demandThreshold &&
    demand.tokens <= advance.tokens * demandThreshold;
}

/** Gets the quota that is left of all grants. */
function getHeld(row: HolderRow): Quota {
  const held = createEmptyQuota();
  for (const { left } of row.grants) {
    addScaledQuota(held, { by: left, factor: 1 });
  }
  return held;
}

function takeFromGrants(row: HolderRow, cost: Quota): void {
  const due = { ...cost };
  for (const { left } of row.grants) {
    const taken = {
      requests: Math.min(left.requests, due.requests),
      tokens: Math.min(left.tokens, due.tokens),
    };
    addScaledQuota(left, { by: taken, factor: -1 });
    addScaledQuota(due, { by: taken, factor: -1 });
  }
}
