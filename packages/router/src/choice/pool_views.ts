import { getStartMs } from "@jasminetide/core/membership";
import { PoolView } from "@jasminetide/core/routing";
import type { RunnerRow } from "@jasminetide/core/tables";

/** Lists the runners of a pool that accept new requests. */
export type RunnerSource = { getCandidates(pool: string): RunnerRow[] };

/** Source of the runners that the views show. */
export type PoolViewsOptions = { source: RunnerSource };

/** Time of reading and ramp-up of joining runners. */
export type ReadOptions = {
  nowMs: number;
  /** Time until a joining runner offers its full capacity. */
  rampUpMs: number;
};

type SyncedView = { view: PoolView; syncedAtMs: number };

/** Shortest time between two updates of a view from the member records. */
const syncPeriodMs = 20;

/** This router's views of the pools, one per model or service. */
export class PoolViews {
  readonly #source: RunnerSource;
  readonly #views = new Map<string, SyncedView>();

  private constructor(options: PoolViewsOptions) {
    this.#source = options.source;
  }

  /** Creates an empty set; each view is filled when it is first read. */
  static create(options: PoolViewsOptions): PoolViews {
    return new PoolViews(options);
  }

  /** Gets the view of a pool and updates it from the member records if due. */
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

/** Creates a view without hold-down: membership already applies it. */
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
