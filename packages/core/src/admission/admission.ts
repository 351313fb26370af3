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
import { ServiceRate } from "./service_rate.ts";
import { SlotShares } from "./slot_shares.ts";
import { createTaskObserver } from "./task_observer.ts";
import type {
  AdmissionOptions,
  AdmissionRequest,
  AdmissionTask,
} from "./types.ts";
import { WaitingTable } from "./waiting_table.ts";
import { createWithdrawal, type Withdrawal } from "./withdrawal.ts";

const minimumRetryAfterMs = 1000;

/** Admits requests to one runner. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #queue: PQueue<FairQueue>;
  readonly #waiting = WaitingTable.create();
  readonly #limit: ConcurrencyLimit;
  readonly #shares: SlotShares;
  readonly #rate = ServiceRate.create();
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

  /** Creates the admission of one runner. */
  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  /** Work admitted and not yet released, in weighted tokens. */
  get loadTokens(): number {
    return this.#loadTokens;
  }

  /** Requests that wait for a slot. */
  get queueLength(): number {
    return this.#waiting.size;
  }

  /** Requests that run. */
  get running(): number {
    return this.#running;
  }

  /** Requests that may run at once. */
  get concurrencyLimit(): number {
    return this.#limit.limit;
  }

  /** Gets the time that work is expected to take once it runs. */
  getExpectedMs(costTokens: number): number {
    return this.#rate.getCautiousDurationMs(costTokens);
  }

  /**
   * Runs a task once there is room for it. Its load is released when the task
   * has ended or, if it never began, when it is refused.
   *
   * @param options.signal withdraws the request while it waits; a task that
   * has begun has to end by itself.
   * @throws AppError `overLoadCap`, `overloaded`, `deadlineUnreachable` or
   * `callerGone` before the task has begun.
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
    const release = this.#takeLoad(request.costTokens);
    try {
      const withdrawal = this.#createWithdrawal(request, {
        callerSignal: options.signal,
        release,
      });
      return await this.#enqueue(request, task, withdrawal);
    } finally {
      release();
    }
  }

  #takeLoad(costTokens: number): () => void {
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

  #createWithdrawal(
    request: AdmissionRequest,
    options: { callerSignal: AbortSignal | undefined; release: () => void },
  ): Withdrawal {
    const { timers } = this.#options;
    const ownMs = this.#rate.getCautiousDurationMs(request.costTokens);
    return createWithdrawal({
      ...options,
      timers,
      delayMs: request.deadlineAtMs - ownMs - timers.nowMs(),
      createDeadlineError: () => this.#createDeadlineError(ownMs),
      createCallerError: () =>
        AppError.create("callerGone", "Request was withdrawn as it waited", {
          executed: "no",
        }),
    });
  }

  async #enqueue<Result>(
    request: AdmissionRequest,
    task: AdmissionTask<Result>,
    withdrawal: Withdrawal,
  ): Promise<Result> {
    const id = String(++this.#lastId);
    const stopWaiting = () => {
      this.#waiting.delete(id);
      withdrawal[Symbol.dispose]();
    };
    const { refuse, signal } = withdrawal;
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
      this.#rate.observe(timers.nowMs() - startMs, request.costTokens);
      this.#updateLimit();
    }
  }

  #updateLimit(): void {
    this.#limit.update(this.#options.timers.nowMs());
    // Setting the concurrency also starts what has become startable.
    this.#queue.concurrency = this.#limit.limit;
  }

  #checkDeadline(request: AdmissionRequest): void {
    const waitMs = this.#getWaitMs(request);
    if (waitMs === 0) return;
    const ownMs = this.#rate.getCautiousDurationMs(request.costTokens);
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

  /** Estimates how long a newcomer would wait for a slot. */
  #getWaitMs(request: AdmissionRequest): number {
    const { limit } = this.#limit;
    const { workspace, costTokens } = request;
    if (!this.#hasToWait(request)) return 0;
    const ahead = this.#waiting.getTokensAhead(request) + costTokens;
    const own = this.#waiting.getOwnTokens(request) + costTokens;
    return Math.max(
      this.#rate.getDurationMs(ahead) / limit,
      this.#rate.getDurationMs(own) / this.#shares.getShare(workspace),
    );
  }

  #createDeadlineError(waitMs: number): AppError {
    return AppError.create(
      "deadlineUnreachable",
      `Deadline cannot be met: ${this.#waiting.size} requests wait, ` +
        `${Math.ceil(waitMs)} ms expected`,
      { retryAfterMs: Math.max(minimumRetryAfterMs, waitMs) },
    );
  }

  #checkQueue(request: AdmissionRequest): void {
    const { maximumQueueLength } = this.#options.getSettings().admission;
    const isFull = () =>
      this.#hasToWait(request) && this.#waiting.size >= maximumQueueLength;
    while (isFull() && this.#refuseVictim(request));
    if (!isFull()) return;
    throw AppError.create(
      "overloaded",
      `Queue holds ${this.#waiting.size} requests`,
      { retryAfterMs: minimumRetryAfterMs },
    );
  }

  #checkCap(request: AdmissionRequest): void {
    const { getSettings, getMeanLoad, capacity } = this.#options;
    const { costTokens } = request;
    const mean = getMeanLoad();
    const capTokens = getCapTokens(mean, { settings: getSettings(), capacity });
    const fits = () => isUnderCap(this.#loadTokens, { costTokens, capTokens });
    while (!fits() && this.#refuseVictim(request));
    if (!fits()) {
      throw createCapError(this.#loadTokens, { costTokens, capTokens, mean });
    }
    assertLoadCap(this.#loadTokens, { costTokens, capTokens });
  }

  /** Refuses a waiting request that has less claim than a newcomer. */
  #refuseVictim(request: AdmissionRequest): boolean {
    const victim = this.#waiting.findVictim(request);
    if (victim === undefined) return false;
    this.#waiting.delete(victim.id);
    victim.refuse(AppError.create(
      "overloaded",
      "Request gave way to one with more claim",
      { retryAfterMs: minimumRetryAfterMs },
    ));
    return true;
  }
}
