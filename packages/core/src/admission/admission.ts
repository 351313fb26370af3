import PQueue from "p-queue";
import { AppError, assertInvariant } from "../results/mod.ts";

/** What admission reads of a request. */
export type AdmissionRequest = {
  workspace: string;
  /** Lower is served first. */
  priority: number;
  /** Share of the workspace inside its class. */
  weight: number;
  /** Estimated work in weighted tokens. */
  costTokens: number;
  /** Time by which the request has to be answered. */
  deadlineAtMs: number;
};

/** What the cap compares a runner's load with. */
export type MeanLoad = {
  /** Mean load of the pool in weighted tokens for a capacity of 1. */
  tokens: number;
  /** Age of the oldest record in the mean. */
  ageMs: number;
};

/** Limits and inputs of admission, read at each decision. */
export type AdmissionOptions = {
  maximumConcurrency: number;
  maximumQueueLength: number;
  capMultiple: number;
  minimumTokens: number;
  capacity: number;
  getMeanLoad: () => MeanLoad;
  getNowMs: () => number;
};

/** Admits requests to one runner. */
export class Admission {
  readonly #queue: PQueue;
  readonly #options: AdmissionOptions;
  #loadTokens = 0;

  private constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#queue = new PQueue({ concurrency: options.maximumConcurrency });
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
    return this.#queue.size;
  }

  /** Requests that run. */
  get running(): number {
    return this.#queue.pending;
  }

  /**
   * Runs a task once there is room for it.
   *
   * @throws AppError `overLoadCap`, `overloaded` or `deadlineUnreachable`
   * before the task has begun.
   */
  async run<Result>(
    request: AdmissionRequest,
    task: () => Promise<Result>,
  ): Promise<Result> {
    this.#checkCap(request);
    this.#checkQueue();
    this.#loadTokens += request.costTokens;
    try {
      return await this.#queue.add(() => this.#runTask(request, task), {
        priority: -request.priority,
      });
    } finally {
      this.#loadTokens -= request.costTokens;
    }
  }

  #runTask<Result>(
    request: AdmissionRequest,
    task: () => Promise<Result>,
  ): Promise<Result> {
    if (this.#options.getNowMs() >= request.deadlineAtMs) {
      throw AppError.create(
        "deadlineUnreachable",
        "Deadline passed while the request waited",
      );
    }
    return task();
  }

  #checkCap(request: AdmissionRequest): void {
    const mean = this.#options.getMeanLoad();
    const capTokens = Math.max(
      this.#options.minimumTokens,
      this.#options.capMultiple * mean.tokens,
    ) * this.#options.capacity;
    if (this.#loadTokens + request.costTokens > capTokens) {
      throw AppError.create(
        "overLoadCap",
        `Load ${this.#loadTokens} plus ${request.costTokens} tokens exceeds ` +
          `${Math.floor(capTokens)}; pool mean ${Math.floor(mean.tokens)}, ` +
          `${mean.ageMs} ms old`,
        { retryAfterMs: 1000 },
      );
    }
    assertInvariant(
      this.#loadTokens + request.costTokens <= capTokens,
      "load-cap",
      () => `load ${this.#loadTokens} cap ${capTokens}`,
    );
  }

  #checkQueue(): void {
    if (this.#queue.size < this.#options.maximumQueueLength) return;
    throw AppError.create(
      "overloaded",
      `Queue holds ${this.#queue.size} requests`,
      { retryAfterMs: 1000 },
    );
  }
}
