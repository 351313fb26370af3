import type { RunnerId } from "../tables/mod.ts";
import { HoldDown } from "./hold_down.ts";
import { getRampShare } from "./load_bound.ts";

/** What is known of a runner of the pool from lists and records. */
export type PoolMember = {
  id: RunnerId;
  failureDomain: string;
  capacity: number;
  /** Load in weighted tokens as last reported. */
  loadTokens: number;
  /** Time at which that load was true. */
  observedAtMs: number;
};

/** Work that this process has sent to a runner and that has not ended. */
export type DispatchedWork = {
  runner: RunnerId;
  tokens: number;
  sentAtMs: number;
};

/** A runner with the load that this process expects of it. */
export type RunnerView = PoolMember & {
  joinedAtMs: number;
  /** Own work that the last record does not contain yet. */
  recentWork: Set<DispatchedWork>;
  recentTokens: number;
  /** Whether the runner takes new work. */
  isCandidate: boolean;
};

/** How a pool is seen. */
export type PoolViewOptions = {
  rampUpMs: number;
  holdDownMs: number;
  maximumHoldDownMs: number;
};

/**
 * One process's view of the runners of a pool: lagging load records plus the
 * work that the process itself has sent since. Holds down runners that flap
 * and ramps up those that join.
 */
export class PoolView {
  readonly #options: PoolViewOptions;
  readonly #holdDown: HoldDown;
  readonly #views = new Map<RunnerId, RunnerView>();
  readonly #departures = new Map<RunnerId, number>();
  #members: RunnerView[] = [];
  #candidates: RunnerView[] = [];
  #nextChangeMs = Infinity;
  #version = 0;
  /** Expected load and capacity of all candidates. */
  #tokens = 0;
  #capacity = 0;
  /** Candidates that have not ramped up. */
  #ramping: RunnerView[] = [];

  private constructor(options: PoolViewOptions) {
    this.#options = options;
    this.#holdDown = HoldDown.create(options);
  }

  /** Creates a view of an empty pool. */
  static create(options: PoolViewOptions): PoolView {
    return new PoolView(options);
  }

  /** Gets the runners that take new work. */
  getCandidates(nowMs: number): readonly RunnerView[] {
    if (nowMs >= this.#nextChangeMs) this.#select(nowMs);
    return this.#candidates;
  }

  /** All runners of the pool, those that are held down among them. */
  get members(): readonly RunnerView[] {
    return this.#members;
  }

  /** Changes whenever a runner comes or goes. */
  get version(): number {
    return this.#version;
  }

  /** Gets a runner of the pool, whether it takes new work or not. */
  get(id: RunnerId): RunnerView | undefined {
    return this.#views.get(id);
  }

  /**
   * Adds a runner or updates what is fixed of it. The members of the first
   * list are taken as long in service: pass `joinedAtMs` as 0 for them.
   */
  add(
    member: PoolMember,
    options: { joinedAtMs: number; nowMs: number },
  ): void {
    if (this.#views.has(member.id)) return;
    this.#views.set(member.id, {
      ...member,
      joinedAtMs: options.joinedAtMs,
      recentWork: new Set(),
      recentTokens: 0,
      isCandidate: false,
    });
    this.#change(options.nowMs);
  }

  /** Removes a runner; one that was lost is held down when it comes back. */
  remove(
    id: RunnerId,
    options: { isLost: boolean; nowMs: number },
  ): void {
    const view = this.#views.get(id);
    if (view === undefined) return;
    this.#views.delete(id);
    this.#departures.set(id, view.joinedAtMs);
    if (options.isLost) this.#holdDown.recordLoss(id, options.nowMs);
    this.#change(options.nowMs);
  }

  /**
   * Says whether the start of a runner at a time has been seen to end, so
   * that a late record of it does not bring it back.
   */
  hasLeft(id: RunnerId, joinedAtMs: number): boolean {
    return joinedAtMs <= (this.#departures.get(id) ?? -Infinity);
  }

  /** Takes in a load record unless a fresher one is known. */
  observeLoad(
    id: RunnerId,
    record: { loadTokens: number; observedAtMs: number },
  ): void {
    const view = this.#views.get(id);
    if (view === undefined || record.observedAtMs < view.observedAtMs) return;
    const before = getExpectedTokens(view);
    view.loadTokens = record.loadTokens;
    view.observedAtMs = record.observedAtMs;
    for (const work of view.recentWork) {
      if (work.sentAtMs > record.observedAtMs) continue;
      view.recentWork.delete(work);
      view.recentTokens -= work.tokens;
    }
    this.#addTokens(view, getExpectedTokens(view) - before);
  }

  /** Records work that this process sends to a runner. */
  begin(work: DispatchedWork): void {
    const view = this.#views.get(work.runner);
    if (view === undefined) return;
    view.recentWork.add(work);
    view.recentTokens += work.tokens;
    this.#addTokens(view, work.tokens);
  }

  /** Records that work which this process had sent has ended. */
  complete(work: DispatchedWork): void {
    const view = this.#views.get(work.runner);
    if (view === undefined) return;
    const before = getExpectedTokens(view);
    if (view.recentWork.delete(work)) view.recentTokens -= work.tokens;
    else view.loadTokens = Math.max(0, view.loadTokens - work.tokens);
    this.#addTokens(view, getExpectedTokens(view) - before);
  }

  /** Mean expected load of the candidates for a capacity of 1. */
  getMeanTokens(nowMs: number): number {
    this.getCandidates(nowMs);
    let capacity = this.#capacity;
    for (const view of this.#ramping) {
      capacity += this.getCapacity(view, nowMs) - view.capacity;
    }
    return capacity <= 0 ? 0 : Math.max(0, this.#tokens) / capacity;
  }

  /** Capacity that a runner offers at a time, after any ramp-up. */
  getCapacity(view: RunnerView, nowMs: number): number {
    const { rampUpMs } = this.#options;
    if (nowMs - view.joinedAtMs >= rampUpMs) return view.capacity;
    return view.capacity *
      getRampShare({ joinedAtMs: view.joinedAtMs, nowMs, rampUpMs });
  }

  #change(nowMs: number): void {
    this.#version += 1;
    this.#members = [...this.#views.values()];
    this.#select(nowMs);
  }

  #select(nowMs: number): void {
    this.#candidates = [];
    this.#nextChangeMs = Infinity;
    for (const view of this.#members) {
      const endMs = this.#holdDown.getEndMs(view.id);
      view.isCandidate = nowMs >= endMs;
      if (view.isCandidate) this.#candidates.push(view);
      else this.#nextChangeMs = Math.min(this.#nextChangeMs, endMs);
    }
    this.#summarize(nowMs);
  }

  #summarize(nowMs: number): void {
    const { rampUpMs } = this.#options;
    this.#tokens = 0;
    this.#capacity = 0;
    for (const view of this.#candidates) {
      this.#tokens += getExpectedTokens(view);
      this.#capacity += view.capacity;
    }
    this.#ramping = this.#candidates.filter((view) =>
      nowMs - view.joinedAtMs < rampUpMs
    );
  }

  #addTokens(view: RunnerView, tokens: number): void {
    if (view.isCandidate) this.#tokens += tokens;
  }
}

/** Load of a runner as this process expects it now, in weighted tokens. */
export function getExpectedTokens(view: RunnerView): number {
  return view.loadTokens + view.recentTokens;
}
