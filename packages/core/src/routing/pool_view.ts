import type { RunnerId } from "../tables/mod.ts";
import { HoldDown } from "./hold_down.ts";
import { getRampShare } from "./load_bound.ts";

/** A runner of the pool as described by member lists and load records. */
export type PoolMember = {
  id: RunnerId;
  failureDomain: string;
  capacity: number;
  /** Load in weighted tokens as last reported. */
  loadTokens: number;
  /** Time at which that load was measured. */
  observedAtMs: number;
};

/** Unfinished work that this process sent to a runner. */
export type DispatchedWork = {
  runner: RunnerId;
  tokens: number;
  sentAtMs: number;
};

/** A runner with the load that this process expects it to have. */
export type RunnerView = PoolMember & {
  joinedAtMs: number;
  /** Own work that is not yet included in the last load record. */
  recentWork: Set<DispatchedWork>;
  recentTokens: number;
  /** Whether the runner accepts new work, that is, is not held down. */
  isCandidate: boolean;
};

/** Ramp-up and hold-down times of a pool's runners. */
export type PoolViewOptions = {
  rampUpMs: number;
  holdDownMs: number;
  maximumHoldDownMs: number;
};

/**
 * One process's view of the runners of a pool: load records, which lag behind,
 * plus the work that the process itself sent since. Holds down flapping runners
 * and ramps up joining ones.
 */
export class PoolView {
  readonly #options: PoolViewOptions;
  readonly #holdDown: HoldDown;
  readonly #views = new Map<RunnerId, RunnerView>();
  /** Join time of each removed runner. */
  readonly #departures = new Map<RunnerId, number>();
  #members: RunnerView[] = [];
  #candidates: RunnerView[] = [];
  /** Time at which the next hold-down ends. */
  #nextHoldEndMs = Infinity;
  #version = 0;
  /** Total expected load of all candidates, in weighted tokens. */
  #candidateTokens = 0;
  /** Total capacity of all candidates, ramp-up disregarded. */
  #candidateCapacity = 0;
  /** Candidates that are still ramping up. */
  #ramping: RunnerView[] = [];

  private constructor(options: PoolViewOptions) {
    this.#options = options;
    this.#holdDown = HoldDown.create(options);
  }

  /** Creates a view of an empty pool. */
  static create(options: PoolViewOptions): PoolView {
    return new PoolView(options);
  }

  /** Gets the runners that accept new work. */
  getCandidates(nowMs: number): readonly RunnerView[] {
    if (nowMs >= this.#nextHoldEndMs) this.#selectCandidates(nowMs);
    return this.#candidates;
  }

  /** All runners of the pool, including those held down. */
  get members(): readonly RunnerView[] {
    return this.#members;
  }

  /** Number of times that a runner was added or removed. */
  get version(): number {
    return this.#version;
  }

  /** Gets a runner of the pool, whether or not it accepts new work. */
  get(id: RunnerId): RunnerView | undefined {
    return this.#views.get(id);
  }

  /**
   * Adds a runner; does nothing if it is already in the pool. Pass 0 as
   * `joinedAtMs` for members of the first list, so that they do not ramp up.
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
    this.#updateMembers(options.nowMs);
  }

  /** Removes a runner; a lost one is held down if it returns. */
  remove(
    id: RunnerId,
    options: { isLost: boolean; nowMs: number },
  ): void {
    const view = this.#views.get(id);
    if (view === undefined) return;
    this.#views.delete(id);
    this.#departures.set(id, view.joinedAtMs);
    if (options.isLost) this.#holdDown.recordLoss(id, options.nowMs);
    this.#updateMembers(options.nowMs);
  }

  /**
   * Checks whether the run of a runner that joined at a time, or a later run,
   * was already removed, so that a late record does not add it again.
   */
  hasLeft(id: RunnerId, joinedAtMs: number): boolean {
    return joinedAtMs <= (this.#departures.get(id) ?? -Infinity);
  }

  /** Applies a load record unless a newer one was applied. */
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

  /** Records that this process sends work to a runner. */
  begin(work: DispatchedWork): void {
    const view = this.#views.get(work.runner);
    if (view === undefined) return;
    view.recentWork.add(work);
    view.recentTokens += work.tokens;
    this.#addTokens(view, work.tokens);
  }

  /** Records the end of work that this process sent. */
  complete(work: DispatchedWork): void {
    const view = this.#views.get(work.runner);
    if (view === undefined) return;
    const before = getExpectedTokens(view);
    if (view.recentWork.delete(work)) view.recentTokens -= work.tokens;
    else view.loadTokens = Math.max(0, view.loadTokens - work.tokens);
    this.#addTokens(view, getExpectedTokens(view) - before);
  }

  /** Gets the mean expected load of the candidates for a capacity of 1. */
  getMeanTokens(nowMs: number): number {
    this.getCandidates(nowMs);
    let capacity = this.#candidateCapacity;
    for (const view of this.#ramping) {
      capacity += this.getCapacity(view, nowMs) - view.capacity;
    }
    return capacity <= 0 ? 0 : Math.max(0, this.#candidateTokens) / capacity;
  }

  /** Gets the capacity that a runner offers, reduced during its ramp-up. */
  getCapacity(view: RunnerView, nowMs: number): number {
    const { rampUpMs } = this.#options;
    if (nowMs - view.joinedAtMs >= rampUpMs) return view.capacity;
    return view.capacity *
      getRampShare({ joinedAtMs: view.joinedAtMs, nowMs, rampUpMs });
  }

  #updateMembers(nowMs: number): void {
    this.#version += 1;
    this.#members = [...this.#views.values()];
    this.#selectCandidates(nowMs);
  }

  #selectCandidates(nowMs: number): void {
    this.#candidates = [];
    this.#nextHoldEndMs = Infinity;
    for (const view of this.#members) {
      const endMs = this.#holdDown.getEndMs(view.id);
      view.isCandidate = nowMs >= endMs;
      if (view.isCandidate) this.#candidates.push(view);
      else this.#nextHoldEndMs = Math.min(this.#nextHoldEndMs, endMs);
    }
    this.#summarizeCandidates(nowMs);
  }

  #summarizeCandidates(nowMs: number): void {
    const { rampUpMs } = this.#options;
    this.#candidateTokens = 0;
    this.#candidateCapacity = 0;
    for (const view of this.#candidates) {
      this.#candidateTokens += getExpectedTokens(view);
      this.#candidateCapacity += view.capacity;
    }
    this.#ramping = this.#candidates.filter((view) =>
      nowMs - view.joinedAtMs < rampUpMs
    );
  }

  #addTokens(view: RunnerView, tokens: number): void {
    if (view.isCandidate) this.#candidateTokens += tokens;
  }
}

/** Gets the load that this process expects of a runner, in weighted tokens. */
export function getExpectedTokens(view: RunnerView): number {
  return view.loadTokens + view.recentTokens;
}
