/** What a workspace has of a runner. */
type ShareRow = { weight: number; running: number; seenAtMs: number };

/** How slots are shared. */
export type SlotSharesOptions = {
  /** Slots of the runner. */
  getLimit: () => number;
  getNowMs: () => number;
};

/** How long a workspace that sends nothing keeps its share free. */
const activeMs = 10_000;

/** Time over which the usual number of running requests is averaged. */
const usualMs = 60_000;

/** Times the usual number up to which a workspace may exceed its share. */
const borrowFactor = 1.25;

/**
 * Shares the slots of a runner between the workspaces that were active lately,
 * by weight. A workspace may exceed its share while no more run than usual: a
 * larger batch would slow the tokens of all others, and no order of the queue
 * can undo that.
 */
export class SlotShares {
  readonly #options: SlotSharesOptions;
  /** By the time at which a workspace was last seen, oldest first. */
  readonly #rows = new Map<string, ShareRow>();
  #weights = 0;
  #running = 0;
  #usual = 0;
  #observedAtMs: number | undefined;
  #observedMs = 0;

  private constructor(options: SlotSharesOptions) {
    this.#options = options;
  }

  /** Creates shares without a workspace. */
  static create(options: SlotSharesOptions): SlotShares {
    return new SlotShares(options);
  }

  /** Notes that a workspace sends requests. */
  observe(workspace: string, weight: number): void {
    const nowMs = this.#options.getNowMs();
    const running = this.#rows.get(workspace)?.running ?? 0;
    this.#delete(workspace);
    this.#rows.set(workspace, { weight, running, seenAtMs: nowMs });
    this.#weights += weight;
    this.#expire(nowMs);
    this.#observeRunning(nowMs);
  }

  /** Takes a slot. */
  begin(workspace: string): void {
    this.#add(workspace, 1);
  }

  /** Gives back a slot. */
  end(workspace: string): void {
    this.#add(workspace, -1);
  }

  /** Says whether a workspace may take a slot, if there is one. */
  canStart(workspace: string): boolean {
    const row = this.#rows.get(workspace);
    if (row === undefined || row.running < this.getShare(workspace)) {
      return true;
    }
    return this.#running < borrowFactor * this.#usual;
  }

  /** Slots that a workspace may hold however many run. */
  getShare(workspace: string): number {
    const row = this.#rows.get(workspace);
    const limit = this.#options.getLimit();
    if (row === undefined) return limit;
    return Math.max(1, limit * row.weight / this.#weights);
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
    // Until it has seen `usualMs`, the average is that of all it has seen.
    const spanMs = Math.max(1, Math.min(usualMs, this.#observedMs));
    const weight = Math.min(1, elapsedMs / spanMs);
    this.#usual += weight * (this.#running - this.#usual);
    this.#observedAtMs = nowMs;
  }

  #expire(nowMs: number): void {
    for (const [workspace, row] of this.#rows) {
      if (row.seenAtMs + activeMs > nowMs) return;
      if (row.running === 0) this.#delete(workspace);
    }
  }

  #delete(workspace: string): void {
    const row = this.#rows.get(workspace);
    if (row === undefined) return;
    this.#rows.delete(workspace);
    this.#weights -= row.weight;
  }
}
