import { getStartMs } from "@jasminetide/core/membership";
import { PoolView } from "@jasminetide/core/routing";
import type { RunnerRow } from "@jasminetide/core/tables";

/** Runners that take new work, as membership knows them. */
export type RunnerSource = { getCandidates(pool: string): RunnerRow[] };

/** What a pool is viewed with. */
export type PoolViewsOptions = { source: RunnerSource };

/** When a view is read. */
export type ReadOptions = {
  nowMs: number;
  /** Time in which a joining runner comes to its full share. */
  rampUpMs: number;
};

type SyncedView = { view: PoolView; syncedAtMs: number };

/** Time for which a view is used before records are read again. */
const syncPeriodMs = 20;

/** This router's views of the pools, one a model or service. */
export class PoolViews {
  readonly #source: RunnerSource;
  readonly #views = new Map<string, SyncedView>();

  private constructor(options: PoolViewsOptions) {
    this.#source = options.source;
  }

  /** Creates views that are filled when they are first read. */
  static create(options: PoolViewsOptions): PoolViews {
    return new PoolViews(options);
  }

  /** Gets the view of a pool with the records of this moment. */
  get(pool: string, options: ReadOptions): PoolView {
    const synced = this.#views.get(pool) ?? createView(options);
    this.#views.set(pool, synced);
    if (options.nowMs - synced.syncedAtMs >= syncPeriodMs) {
      synced.syncedAtMs = options.nowMs;
      syncView(synced.view, {
        rows: this.#source.getCandidates(pool),
        nowMs: options.nowMs,
      });
    }
    return synced.view;
  }
}

/** Membership holds flapping runners down already, hence no hold here. */
function createView(options: ReadOptions): SyncedView {
  const view = PoolView.create({
    rampUpMs: options.rampUpMs,
    holdDownMs: 0,
    maximumHoldDownMs: 0,
  });
  return { view, syncedAtMs: Number.NEGATIVE_INFINITY };
}

function syncView(
  view: PoolView,
  options: { rows: RunnerRow[]; nowMs: number },
): void {
  const { rows, nowMs } = options;
  const ids = new Set(rows.map((row) => row.id));
  for (const { id } of [...view.members]) {
    if (!ids.has(id)) view.remove(id, { isLost: false, nowMs });
  }
  for (const row of rows) {
    const joinedAtMs = getStartMs(row.epoch);
    const known = view.get(row.id);
    if (known !== undefined && known.joinedAtMs !== joinedAtMs) {
      view.remove(row.id, { isLost: false, nowMs });
    }
    view.add(row, { joinedAtMs, nowMs });
    view.observeLoad(row.id, row);
  }
}
