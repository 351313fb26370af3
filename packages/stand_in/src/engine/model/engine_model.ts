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
  OrderDesk,
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

/** What an engine model is made of. */
export type EngineModelOptions = {
  profile: EngineProfile;
  models: string[];
  random: RandomSource;
  weights?: WeightStore | undefined;
};

/**
 * A model engine without input or output: continuous batching over a prefix
 * cache. The caller gives the time and takes the events.
 */
export class EngineModel {
  readonly profile: EngineProfile;
  readonly #cache: BlockCache;
  readonly #events: CacheEventLog;
  readonly #reports: LoadReports;
  readonly #orders: OrderDesk;
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
    this.#orders = OrderDesk.create({
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

  /** Requests that wait or run. */
  get size(): number {
    return this.#batch.waiting + this.#batch.running;
  }

  get role(): EngineRole {
    return this.#orders.role;
  }

  /** Models by name, those still loading included. */
  get models(): ReadonlyMap<string, LoadedModel> {
    return this.#orders.models;
  }

  /** Highest fencing number of an order carried out. */
  get highestFencingNumber(): number {
    return this.#orders.highestFencingNumber;
  }

  /** Number of the last cache event, lost or not. */
  get cacheSequence(): number {
    return this.#events.sequence;
  }

  /**
   * Takes a request. Its events follow from `advance`.
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
   * Stops a request. A prompt that was computed in full stays cached.
   *
   * @returns whether it was waiting or running.
   */
  cancel(id: string, nowMs: number): boolean {
    this.#advanceTo(nowMs);
    const isCancelled = this.#batch.cancel(id);
    this.#recordLoad();
    return isCancelled;
  }

  /** Moves the engine to a time and takes the events up to it. */
  advance(nowMs: number): EngineEvent[] {
    this.#advanceTo(nowMs);
    return this.#batch.takeEvents();
  }

  /** Time of the next change, or undefined when the engine is idle. */
  getNextDueMs(): number | undefined {
    return this.#batch.hasEvents ? this.#nowMs : this.#getDueMs();
  }

  /** Gets the true load now. */
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

  /** Gets the load as the engine reports it, late. */
  getLoadReport(nowMs: number): EngineLoad | undefined {
    this.#advanceTo(nowMs);
    return this.#reports.get(nowMs);
  }

  /** Lists cache events that are readable, after a sequence number. */
  listCacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events.list(afterSequence, nowMs);
  }

  /** Lists all blocks held. */
  listBlocks(): BlockHash[] {
    return this.#cache.list();
  }

  /** Gets the longest held prefix of a chain of blocks, for export. */
  getHeldPrefix(blocks: readonly BlockHash[]): BlockHash[] {
    return this.#cache.getPrefix(blocks);
  }

  /** Imports a chain of blocks; returns the time when it is usable. */
  importBlocks(blocks: readonly BlockHash[], nowMs: number): number {
    this.#advanceTo(nowMs);
    const doneAtMs = nowMs + blocks.length * this.profile.importBlockMs;
    this.#imports.push({ blocks, doneAtMs });
    this.#imports.sort((left, right) => left.doneAtMs - right.doneAtMs);
    return doneAtMs;
  }

  /** Carries out an order; returns the time when it is complete. */
  applyOrder(order: EngineOrder, nowMs: number): number {
    this.#advanceTo(nowMs);
    return this.#orders.apply(order, nowMs);
  }

  #checkRequest(request: EngineRequest, nowMs: number): void {
    this.#orders.require(request.model, { adapter: request.adapter, nowMs });
    checkSize(request, this.profile);
    if (!this.#batch.has(request.id)) return;
    throw AppError.create("invalidRequest", `Request "${request.id}" runs`);
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
    `Request needs ${needed} blocks of ${profile.memoryBlocks} and ` +
      `${request.answerTokens} answer tokens from ${offset}`,
  );
}
