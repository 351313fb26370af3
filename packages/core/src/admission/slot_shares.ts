/** An active workspace: its weight, running requests and latest request. */
type ShareRow = { weight: number; running: number; lastRequestAtMs: number };

/** Options of the slot shares. */
export type SlotSharesOptions = {
  /** Gets the number of slots of the runner. */
  getLimit: () => number;
  getNowMs: () => number;
};

/** Time after its last request for which a workspace keeps its share. */
const activeMs = 10_000;

/** Time over which the number of running requests is averaged. */
const averagingMs = 60_000;

/**
 * A workspace may exceed its share while the number of running requests is
 * below this multiple of its average.
 */
const borrowFactor = 1.25;

/**
 * Divides the slots of a runner between the recently active workspaces by
 * weight. A workspace may exceed its share only while not many more requests
 * run than on average: a larger batch would slow the tokens of all other
 * requests, and no queue order can compensate for that.
 */
export class SlotShares {
  readonly #options: SlotSharesOptions;
  /** Ordered by the time of the last request, oldest first. */
  readonly #rows = new Map<string, ShareRow>();
  #totalWeight = 0;
  #running = 0;
  #averageRunning = 0;
  #observedAtMs: number | undefined;
  #observedMs = 0;

  private constructor(options: SlotSharesOptions) {
    this.#options = options;
  }

  /** Creates shares without workspaces. */
  static create(options: SlotSharesOptions): SlotShares {
    return new SlotShares(options);
  }

  /** Records a request of a workspace. */
  observe(workspace: string, weight: number): void {
    const nowMs = this.#options.getNowMs();
    const running = this.#rows.get(workspace)?.running ?? 0;
    this.#delete(workspace);
    this.#rows.set(workspace, { weight, running, lastRequestAtMs: nowMs });
    this.#totalWeight += weight;
    this.#expire(nowMs);
    this.#observeRunning(nowMs);
  }

  /** Takes a slot for a workspace. */
  begin(workspace: string): void {
    this.#add(workspace, 1);
  }

  /** Releases a slot of a workspace. */
  end(workspace: string): void {
    this.#add(workspace, -1);
  }

  /** Checks whether a workspace may take a free slot. */
  canStart(workspace: string): boolean {
    const row = this.#rows.get(workspace);
    if (row === undefined || row.running < this.getShare(workspace)) {
      return true;
    }
    return this.#running < borrowFactor * this.#averageRunning;
  }

  /** Gets the slots that a workspace may hold whatever the others use. */
  getShare(workspace: string): number {
    const row = this.#rows.get(workspace);
    const limit = this.#options.getLimit();
    if (row === undefined) return limit;
    return Math.max(1, limit * row.weight / this.#totalWeight);
  }

  #add(workspace: string, slots: number): void {
    this.#observeRunning(this.#options.getNowMs());
    this.#running += slots;
    const row = this.#rows.get(workspace);
    if (row !== undefined) row.running += slots;
  }

  #observeRunning(nowMs: number): void {
    const elapsedMs = nowMs - (this.#observedAtMs ?? nowMs);
    this.#observedMs += elapsedMs;
    // Until `averagingMs` have been observed, averages the whole time so far.
    const spanMs = Math.max(1, Math.min(averagingMs, this.#observedMs));
    const weight = Math.min(1, elapsedMs / spanMs);
    this.#averageRunning += weight * (this.#running - this.#averageRunning);
    this.#observedAtMs = nowMs;
  }

  #expire(nowMs: number): void {
    for (const [workspace, row] of this.#rows) {
      if (row.lastRequestAtMs + activeMs > nowMs) return;
      if (row.running === 0) this.#delete(workspace);
    }
  }

  #delete(workspace: string): void {
    const row = this.#rows.get(workspace);
    if (row === undefined) return;
    this.#rows.delete(workspace);
    this.#totalWeight -= row.weight;
  }
}
