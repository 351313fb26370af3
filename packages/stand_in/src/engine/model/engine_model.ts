import type { RandomSource } from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import { Batch } from "./batch.ts";
import { BlockCache } from "./block_cache.ts";
import { type CacheEvent, CacheEventLog } from "./cache_events.ts";
import { LoadReports } from "./load_reports.ts";
import {
  type EngineOrder,
  type EngineRole,
  type LoadedModel,
  OrderExecutor,
} from "./orders.ts";
import type { EngineProfile } from "./profile.ts";
import { countNeededBlocks } from "./sequence.ts";
import type {
  BlockHash,
  EngineEvent,
  EngineLoad,
  EngineRequest,
} from "./types.ts";
import type { WeightStore } from "./weight_store.ts";

/** Profile and dependencies of an engine model. */
export type EngineModelOptions = {
  profile: EngineProfile;
  models: string[];
  random: RandomSource;
  weights?: WeightStore | undefined;
};

/**
 * Simulation of a model engine without I/O: continuous batching over a prefix
 * cache. The caller passes the time and receives the events.
 */
export class EngineModel {
  readonly profile: EngineProfile;
  readonly #cache: BlockCache;
  readonly #events: CacheEventLog;
  readonly #reports: LoadReports;
  readonly #orders: OrderExecutor;
  readonly #batch: Batch;
  readonly #imports: { blocks: readonly BlockHash[]; doneAtMs: number }[] = [];
  #nowMs = 0;

  private constructor(options: EngineModelOptions) {
    const { profile, models, random, weights } = options;
    this.profile = profile;
    this.#events = CacheEventLog.create({
      delayMs: profile.cacheEventDelayMs,
      loss: profile.cacheEventLoss,
      random,
    });
    this.#cache = BlockCache.create({
      capacityBlocks: profile.memoryBlocks,
      listener: (type, blocks) =>
        this.#events.append({ type, blocks }, this.#nowMs),
    });
    this.#reports = LoadReports.create({
      periodMs: profile.loadReportPeriodMs,
      lagMs: profile.loadReportLagMs,
    });
    const { checksFencing, modelBytes } = profile;
    this.#orders = OrderExecutor.create({
      models,
      checksFencing,
      modelBytes,
      weights,
    });
    this.#batch = Batch.create({
      profile,
      cache: this.#cache,
      getRole: () => this.#orders.role,
    });
  }

  /** Creates an idle engine with an empty cache. */
  static create(options: EngineModelOptions): EngineModel {
    return new EngineModel(options);
  }

  /** Number of requests that are waiting or running. */
  get activeCount(): number {
    return this.#batch.waiting + this.#batch.running;
  }

  get role(): EngineRole {
    return this.#orders.role;
  }

  /** Models by name, including those still loading. */
  get models(): ReadonlyMap<string, LoadedModel> {
    return this.#orders.models;
  }

  /** Highest fencing number of an executed order. */
  get highestFencingNumber(): number {
    return this.#orders.highestFencingNumber;
  }

  /** Sequence number of the last cache event, lost or not. */
  get cacheSequence(): number {
    return this.#events.sequence;
  }

  /**
   * Adds a request. `advance` returns its events.
   *
   * @throws AppError `unknownModel` or `invalidRequest`; nothing has run.
   */
  submit(request: EngineRequest, nowMs: number): void {
    this.#checkRequest(request, nowMs);
    this.#advanceTo(nowMs);
    this.#batch.add(request, nowMs);
    this.#recordLoad();
  }

  /**
   * Cancels a request. A prompt that was fully prefilled stays cached.
   *
   * @returns whether it was waiting or running.
   */
  cancel(id: string, nowMs: number): boolean {
    this.#advanceTo(nowMs);
    const isCancelled = this.#batch.cancel(id);
    this.#recordLoad();
    return isCancelled;
  }

  /** Advances the engine to a time and returns the events up to then. */
  advance(nowMs: number): EngineEvent[] {
    this.#advanceTo(nowMs);
    return this.#batch.takeEvents();
  }

  /** Time of the next event or step, or undefined if the engine is idle. */
  getNextDueMs(): number | undefined {
    return this.#batch.hasEvents ? this.#nowMs : this.#getDueMs();
  }

  /** Gets the actual load. */
  getLoad(): EngineLoad {
    return {
      atMs: this.#nowMs,
      waiting: this.#batch.waiting,
      running: this.#batch.running,
      outstandingTokens: this.#batch.outstandingTokens,
      usedBlocks: this.#cache.usedBlocks,
      memoryBlocks: this.profile.memoryBlocks,
    };
  }

  /** Gets the load as the engine reports it, with a delay. */
  getLoadReport(nowMs: number): EngineLoad | undefined {
    this.#advanceTo(nowMs);
    return this.#reports.get(nowMs);
  }

  /** Lists the cache events after a sequence number that are readable. */
  listCacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events.list(afterSequence, nowMs);
  }

  /** Lists all pinned and cached blocks. */
  listBlocks(): BlockHash[] {
    return this.#cache.list();
  }

  /** Gets the longest cached prefix of a chain of blocks, for export. */
  getCachedPrefix(blocks: readonly BlockHash[]): BlockHash[] {
    return this.#cache.getCachedPrefix(blocks);
  }

  /** Imports a chain of blocks; returns the time at which it is cached. */
  importBlocks(blocks: readonly BlockHash[], nowMs: number): number {
    this.#advanceTo(nowMs);
    const doneAtMs = nowMs + blocks.length * this.profile.importBlockMs;
    this.#imports.push({ blocks, doneAtMs });
    this.#imports.sort((left, right) => left.doneAtMs - right.doneAtMs);
    return doneAtMs;
  }

  /** Executes an order; returns the time at which it is complete. */
  applyOrder(order: EngineOrder, nowMs: number): number {
    this.#advanceTo(nowMs);
    return this.#orders.apply(order, nowMs);
  }

  #checkRequest(request: EngineRequest, nowMs: number): void {
    this.#orders.requireReady(request.model, {
      adapter: request.adapter,
      nowMs,
    });
    checkSize(request, this.profile);
    if (!this.#batch.has(request.id)) return;
    throw AppError.create(
      "invalidRequest",
      `Request "${request.id}" already exists`,
    );
  }

  #advanceTo(nowMs: number): void {
    let dueMs = this.#getDueMs();
    while (dueMs !== undefined && dueMs <= nowMs) {
      this.#nowMs = Math.max(this.#nowMs, dueMs);
      this.#completeImports();
      this.#batch.advance(this.#nowMs);
      this.#recordLoad();
      dueMs = this.#getDueMs();
    }
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  #getDueMs(): number | undefined {
    const importMs = this.#imports[0]?.doneAtMs;
    const batchMs = this.#batch.getDueMs(this.#nowMs);
    if (importMs === undefined) return batchMs;
    return batchMs === undefined ? importMs : Math.min(importMs, batchMs);
  }

  #completeImports(): void {
    while (
      this.#imports.length > 0 && this.#imports[0].doneAtMs <= this.#nowMs
    ) {
      const [{ blocks }] = this.#imports.splice(0, 1);
      this.#cache.insert(blocks);
    }
  }

  #recordLoad(): void {
    this.#reports.record(this.getLoad());
  }
}

function checkSize(request: EngineRequest, profile: EngineProfile): void {
  const needed = countNeededBlocks(request, profile.blockTokens);
  const offset = request.offsetTokens ?? 0;
  const isValid = needed <= profile.memoryBlocks && request.promptTokens > 0 &&
    request.answerTokens > offset && offset >= 0;
  if (isValid) return;
  throw AppError.create(
    "invalidRequest",
    `Invalid request size: ${needed} blocks, engine has ` +
      `${profile.memoryBlocks}; ${request.promptTokens} prompt tokens, ` +
      `${request.answerTokens} answer tokens, offset ${offset}`,
  );
}
