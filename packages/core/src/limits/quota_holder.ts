import { LRUCache } from "lru-cache";
import type { WorkspaceId } from "../tables/mod.ts";
import {
  createEmptyQuota,
  getPositiveQuota,
  type Quota,
  updateQuota,
} from "./quota.ts";

/** Bounds of what one holder keeps. */
export type QuotaHolderOptions = { maximumWorkspaces: number };

/** A request that uses quota. */
export type QuotaUse = {
  workspace: WorkspaceId;
  tokens: number;
  nowMs: number;
  /** What may be used before a grant, when a single request is less. */
  advance?: Quota;
};

/** What a holder wants of a workspace's owner. */
export type WantedQuota = { workspace: WorkspaceId; wanted: Quota };

type Grant = { left: Quota; expiresAtMs: number };

type HolderRow = {
  grants: Grant[];
  /** Used without a grant: one request, or what the advance allows. */
  debt: Quota;
  /** Asked for since the last wish, refused requests among it. */
  demand: Quota;
  /** What the latest use allowed in advance. */
  advance: Quota;
};

/** Debt below which the rest is an error of rounding. */
const leastDebt = 1e-6;

/** Share of the advance up to which debt may rest without a wish. */
const restingDebtShare = 0.5;

/** Share of the advance up to which demand between wishes is quiet. */
const quietDemandShare = 0.25;

/** Time for which granted quota may be used. */
export const quotaGrantMs = 1000;

/**
 * The quota that one router holds. A request is admitted from grants, or as
 * in advance, so that a quiet workspace does not wait for a grant. In advance
 * goes a single request, or as much as the use allows.
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

  /** Admits a request if the workspace has quota here; says whether. */
  tryAdmit(use: QuotaUse): boolean {
    const row = this.#getRow(use.workspace);
    const cost = { requests: 1, tokens: use.tokens };
    updateQuota(row.demand, { by: cost, factor: 1 });
    row.advance = use.advance ?? createEmptyQuota();
    row.grants = row.grants.filter((grant) => grant.expiresAtMs > use.nowMs);
    const held = getHeld(row);
    if (held.requests >= cost.requests && held.tokens >= cost.tokens) {
      takeFromGrants(row, cost);
      return true;
    }
    if (!canAdvance(row, cost)) return false;
    updateQuota(row.debt, { by: cost, factor: 1 });
    return true;
  }

  /**
   * Takes what is wanted of the owners, and begins to count anew. Workspaces
   * that are quiet for their advance want nothing yet.
   */
  takeWanted(): WantedQuota[] {
    const wishes: WantedQuota[] = [];
    for (const [workspace, row] of this.#rows.entries()) {
      const isResting = isQuiet(row);
      const wanted = { ...row.demand };
      updateQuota(wanted, { by: row.debt, factor: 1 });
      updateQuota(wanted, { by: getHeld(row), factor: -1 });
      row.demand = createEmptyQuota();
      if (isResting) continue;
      const positive = getPositiveQuota(wanted);
      if (positive.requests + positive.tokens === 0) continue;
      wishes.push({ workspace, wanted: positive });
    }
    return wishes;
  }

  /** Takes in a grant; what was used in advance is paid first. */
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
    updateQuota(left, { by: paid, factor: -1 });
    updateQuota(row.debt, { by: paid, factor: -1 });
    row.grants.push({ left, expiresAtMs: grant.nowMs + quotaGrantMs });
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

function canAdvance(row: HolderRow, cost: Quota): boolean {
  const { advance, debt } = row;
  if (Math.max(debt.requests, debt.tokens) <= leastDebt) return true;
  return debt.requests + cost.requests <= advance.requests &&
    debt.tokens + cost.tokens <= advance.tokens;
}

function isQuiet({ advance, debt, demand }: HolderRow): boolean {
  return debt.requests <= advance.requests * restingDebtShare &&
    debt.tokens <= advance.tokens * restingDebtShare &&
    demand.requests <= advance.requests * quietDemandShare &&
    demand.tokens <= advance.tokens * quietDemandShare;
}

function getHeld(row: HolderRow): Quota {
  const held = createEmptyQuota();
  for (const { left } of row.grants) updateQuota(held, { by: left, factor: 1 });
  return held;
}

function takeFromGrants(row: HolderRow, cost: Quota): void {
  const due = { ...cost };
  for (const { left } of row.grants) {
    const taken = {
      requests: Math.min(left.requests, due.requests),
      tokens: Math.min(left.tokens, due.tokens),
    };
    updateQuota(left, { by: taken, factor: -1 });
    updateQuota(due, { by: taken, factor: -1 });
  }
}
