import PQueue from "p-queue";
import { AppError, assertInvariant } from "../results/mod.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { createQueueClass, FairQueue } from "./fair_queue.ts";
import {
  assertLoadCap,
  createCapError,
  getCapTokens,
  isUnderCap,
} from "./load_cap.ts";
import { ServiceTimeEstimator } from "./service_time_estimator.ts";
import { SlotShares } from "./slot_shares.ts";
import { createTaskObserver } from "./task_observer.ts";
import type {
  AdmissionOptions,
  AdmissionRequest,
  AdmissionTask,
} from "./types.ts";
import { WaitingTable } from "./waiting_table.ts";
import {
  createWaitCancellation,
  type WaitCancellation,
} from "./wait_cancellation.ts";

/** Shortest retry delay that a refusal returns. */
const minimumRetryAfterMs = 1000;

/**
 * Admits requests to one runner. A request is refused when it cannot meet its
 * deadline, when the queue is full or when the runner is at its load cap;
 * otherwise it waits for a free slot.
 */
export class AdmissionController {
  readonly #options: AdmissionOptions;
  readonly #queue: PQueue<FairQueue>;
  readonly #waiting = WaitingTable.create();
  readonly #limit: ConcurrencyLimit;
  readonly #shares: SlotShares;
  readonly #serviceTime = ServiceTimeEstimator.create();
  #loadTokens = 0;
  #running = 0;
  #lastId = 0;

  private constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#limit = ConcurrencyLimit.create(() =>
      options.getSettings().admission
    );
    this.#shares = SlotShares.create({
      getLimit: () => this.#limit.limit,
      getNowMs: () => options.timers.nowMs(),
    });
    const queue = FairQueue.create({
      canStart: (workspace) => this.#canStart(workspace),
    });
    this.#queue = new PQueue({
      concurrency: this.#limit.limit,
      queueClass: createQueueClass(queue),
    });
  }

  /** Creates the admission controller of one runner. */
  static create(options: AdmissionOptions): AdmissionController {
    return new AdmissionController(options);
  }

  /** Load admitted and not yet released, in weighted tokens. */
  get loadTokens(): number {
    return this.#loadTokens;
  }

  /** Number of requests that wait for a slot. */
  get queueLength(): number {
    return this.#waiting.size;
  }

  /** Number of requests that are running. */
  get running(): number {
    return this.#running;
  }

  /** Number of requests that may run at once. */
  get concurrencyLimit(): number {
    return this.#limit.limit;
  }

  /**
   * Gets a conservative estimate of how long a request takes once it runs.
   */
  getExpectedDurationMs(costTokens: number): number {
    return this.#serviceTime.getConservativeDurationMs(costTokens);
  }

  /**
   * Runs a task once a slot is free. The load of the request is released when
   * the task ends or, if it has not started, when the request is refused.
   *
   * @param options.signal cancels the request while it waits; it does not
   * cancel a task that has started.
   * @throws AppError `overLoadCap`, `overloaded`, `deadlineUnreachable` or
   * `callerGone` before the task has started.
   */
  async run<Result>(
    request: AdmissionRequest,
    task: AdmissionTask<Result>,
    options: { signal?: AbortSignal } = {},
  ): Promise<Result> {
    this.#shares.observe(request.workspace, request.weight);
    this.#updateLimit();
    this.#checkDeadline(request);
    this.#checkQueue(request);
    this.#checkCap(request);
    const release = this.#addLoad(request.costTokens);
    try {
      const cancellation = this.#createCancellation(request, {
        callerSignal: options.signal,
        release,
      });
      return await this.#enqueue(request, task, cancellation);
    } finally {
      release();
    }
  }

  #addLoad(costTokens: number): () => void {
    let isReleased = false;
    this.#loadTokens += costTokens;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.#loadTokens -= costTokens;
      assertInvariant(
        this.#loadTokens >= 0,
        "load-not-negative",
        () => `load ${this.#loadTokens}`,
      );
    };
  }

  #createCancellation(
    request: AdmissionRequest,
    options: { callerSignal: AbortSignal | undefined; release: () => void },
  ): WaitCancellation {
    const { timers } = this.#options;
    const ownMs = this.#serviceTime.getConservativeDurationMs(
      request.costTokens,
    );
    return createWaitCancellation({
      ...options,
      timers,
      delayMs: request.deadlineAtMs - ownMs - timers.nowMs(),
      createDeadlineError: () => this.#createDeadlineError(ownMs),
      createCallerError: () =>
        AppError.create(
          "callerGone",
          "Request was cancelled while it waited in the queue",
          { executed: "no" },
        ),
    });
  }

  async #enqueue<Result>(
    request: AdmissionRequest,
    task: AdmissionTask<Result>,
    cancellation: WaitCancellation,
  ): Promise<Result> {
    const id = String(++this.#lastId);
    const stopWaiting = () => {
      this.#waiting.delete(id);
      cancellation[Symbol.dispose]();
    };
    const { refuse, signal } = cancellation;
    this.#waiting.set({ id, request, refuse });
    try {
      const { workspace, weight, costTokens, priority } = request;
      const options = { id, workspace, weight, costTokens, signal };
      return await this.#queue.add(() => {
        stopWaiting();
        return this.#runTask(request, task);
      }, { ...options, priority: -priority }) as Result;
    } finally {
      stopWaiting();
    }
  }

  async #runTask<Result>(
    request: AdmissionRequest,
    task: AdmissionTask<Result>,
  ): Promise<Result> {
    const { timers } = this.#options;
    const startMs = timers.nowMs();
    if (startMs >= request.deadlineAtMs) throw this.#createDeadlineError(0);
    this.#running += 1;
    this.#shares.begin(request.workspace);
    const observer = createTaskObserver({
      limit: this.#limit,
      timers,
      getRunning: () => this.#running,
    });
    try {
      return await task(observer);
    } finally {
      this.#running -= 1;
      this.#shares.end(request.workspace);
      this.#serviceTime.observe(timers.nowMs() - startMs, request.costTokens);
      this.#updateLimit();
    }
  }

  #updateLimit(): void {
    this.#limit.update(this.#options.timers.nowMs());
    // Setting the concurrency also makes the queue start tasks that may now run.
    this.#queue.concurrency = this.#limit.limit;
  }

  #checkDeadline(request: AdmissionRequest): void {
    const waitMs = this.#getWaitMs(request);
    if (waitMs === 0) return;
    const ownMs = this.#serviceTime.getConservativeDurationMs(
      request.costTokens,
    );
    const endMs = this.#options.timers.nowMs() + waitMs + ownMs;
    if (endMs > request.deadlineAtMs) throw this.#createDeadlineError(waitMs);
  }

  #hasToWait({ workspace }: AdmissionRequest): boolean {
    return this.#running >= this.#limit.limit ||
      !this.#canStart(workspace);
  }

  #canStart(workspace: string): boolean {
    return this.#options.sharesSlots === false ||
      this.#shares.canStart(workspace);
  }

  /** Estimates how long a new request would wait for a slot. */
  #getWaitMs(request: AdmissionRequest): number {
    const { limit } = this.#limit;
    const { workspace, costTokens } = request;
    if (!this.#hasToWait(request)) return 0;
    const ahead = this.#waiting.getTokensAhead(request) + costTokens;
    const own = this.#waiting.getWorkspaceTokens(request) + costTokens;
    return Math.max(
      this.#serviceTime.getDurationMs(ahead) / limit,
      this.#serviceTime.getDurationMs(own) / this.#shares.getShare(workspace),
    );
  }

  #createDeadlineError(waitMs: number): AppError {
    return AppError.create(
      "deadlineUnreachable",
      `Deadline cannot be met: ${this.#waiting.size} requests queued, ` +
        `expected wait ${Math.ceil(waitMs)} ms`,
      { retryAfterMs: Math.max(minimumRetryAfterMs, waitMs) },
    );
  }

  #checkQueue(request: AdmissionRequest): void {
    const { maximumQueueLength } = this.#options.getSettings().admission;
    const isFull = () =>
      this.#hasToWait(request) && this.#waiting.size >= maximumQueueLength;
    while (isFull() && this.#evictWaiting(request));
    if (!isFull()) return;
    throw AppError.create(
      "overloaded",
      `Queue is full: ${this.#waiting.size} requests waiting`,
      { retryAfterMs: minimumRetryAfterMs },
    );
  }

  #checkCap(request: AdmissionRequest): void {
    const { getSettings, getMeanLoad, capacity } = this.#options;
    const { costTokens } = request;
    const mean = getMeanLoad();
    const capTokens = getCapTokens(mean, { settings: getSettings(), capacity });
    const fits = () => isUnderCap(this.#loadTokens, { costTokens, capTokens });
    while (!fits() && this.#evictWaiting(request));
    if (!fits()) {
      throw createCapError(this.#loadTokens, { costTokens, capTokens, mean });
    }
    assertLoadCap(this.#loadTokens, { costTokens, capTokens });
  }

  /**
   * Refuses the waiting request that is to be evicted for a new one; returns
   * false if there is none.
   */
  #evictWaiting(request: AdmissionRequest): boolean {
    const evicted = this.#waiting.findEvictable(request);
    if (evicted === undefined) return false;
    this.#waiting.delete(evicted.id);
    evicted.refuse(AppError.create(
      "overloaded",
      "Evicted from the queue to admit another request",
      { retryAfterMs: minimumRetryAfterMs },
    ));
    return true;
  }
}
