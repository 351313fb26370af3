import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import {
  initialPosition,
  isLaterPosition,
  type StorePosition,
} from "@jasminetide/core/store";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import { ChangeLog } from "./change_log.ts";
import { Confirmation } from "./confirmation.ts";
import { ObjectTable } from "./object_table.ts";
import type {
  ObjectChange,
  ObjectNews,
  ObjectSource,
} from "./object_source.ts";

/** Options of a follower of the objects of one kind. */
export type ObjectFollowerOptions<Value> = {
  /** Name of the kind in logs. */
  name: string;
  source: ObjectSource<Value>;
  /** Maximum wait of one watch; limits how long a dead connection is kept. */
  getWatchMs: () => number;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: Pick<GatewayMetrics, "countStoreLost">;
  /** Maximum pause between calls to a store that does not answer. */
  getMaxBackoffMs?: () => number;
  /** Called with all objects after each change. */
  onObjects: (objects: ReadonlyMap<string, Value>) => void;
  /**
   * Time for which missing objects are kept, since their writers may write them
   * again; counted from the last failed call of an outage, or from the first
   * answer of a store that was restored from a copy.
   */
  keepMissingMs: number;
  /**
   * Chooses between an object of a restored store, which may be older than what
   * is known, and what is known. Returns undefined if the object is known to
   * have been deleted. Without it, restored objects are taken as they are.
   */
  resolveRestored?: (name: string, restored: Value) => Value | undefined;
};

/**
 * Keeps a copy of the store's objects of one kind, by watching them or, while
 * paused, from the changes that another process sends.
 */
export class ObjectFollower<Value> {
  readonly #options: ObjectFollowerOptions<Value>;
  readonly #table: ObjectTable<Value>;
  readonly #log = ChangeLog.create<Value>();
  readonly #confirmation: Confirmation;
  #position: StorePosition | undefined;
  /** Epoch of the store that was read last. */
  #epoch: number | undefined;
  /** Whether the store was restored while it was followed. */
  #wasRestored = false;
  #hasAnswered = false;
  #failures = 0;
  /** Watches in a row that have expired. */
  #expiries = 0;
  #calledAtMs = 0;
  #failedCallAtMs = 0;
  /** Age of the copy just before its last change. */
  #ageAtChangeMs = Number.POSITIVE_INFINITY;
  #isPaused = false;
  #resume: () => void = () => {};
  #isStopped = false;

  private constructor(options: ObjectFollowerOptions<Value>) {
    this.#options = options;
    this.#confirmation = Confirmation.create(options.timers);
    this.#table = ObjectTable.create({
      timers: options.timers,
      onRemoved: () => this.#publish(),
    });
  }

  /** Creates a follower and starts to follow. */
  static create<Value>(
    options: ObjectFollowerOptions<Value>,
  ): ObjectFollower<Value> {
    const follower = new ObjectFollower(options);
    void follower.#run();
    return follower;
  }

  /** Whether the store answered the last call. */
  get isConnected(): boolean {
    return this.#hasAnswered && this.#position !== undefined &&
      this.#failures === 0;
  }

  /** Position of the store up to which changes are applied. */
  get position(): StorePosition {
    return this.#position ?? initialPosition;
  }

  /** Time since the copy was known to be up to date. */
  getAgeMs(): number {
    return this.#confirmation.getAgeMs();
  }

  /**
   * Time before the last change in which it may have been made: since the copy
   * had been known to be up to date. Infinite for the first list.
   */
  get ageAtChangeMs(): number {
    return this.#ageAtChangeMs;
  }

  /** Pauses or resumes the calls to the store. */
  setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    if (!isPaused) this.#resume();
  }

  /** Selects what another process lacks; undefined if it lacks nothing. */
  selectNews(since: StorePosition): ObjectNews<Value> | undefined {
    const position = this.#position;
    if (position === undefined) return undefined;
    const changes = this.#log.select(since);
    if (changes !== undefined) {
      if (changes.length === 0) return undefined;
      const keepMissingMs = Math.round(this.#table.keepLeftMs);
      return { position, isWhole: false, changes, keepMissingMs };
    }
    return isLaterPosition(position, since) ? this.listAll() : undefined;
  }

  /** Lists all objects, for a process that may have others. */
  listAll(): ObjectNews<Value> {
    return {
      position: this.position,
      isWhole: true,
      changes: this.#table.listPresent(),
      keepMissingMs: Math.round(this.#table.keepLeftMs),
    };
  }

  /** Applies what another process has sent. */
  applyNews(news: ObjectNews<Value>): void {
    if (!isLaterPosition(news.position, this.position)) return;
    this.#ageAtChangeMs = this.getAgeMs();
    this.#table.keepMissingFor(news.keepMissingMs);
    if (news.isWhole) {
      const objects = news.changes.flatMap(({ name, value }) =>
        value === undefined ? [] : [[name, value] as const]
      );
      this.#applyList(new Map(objects), news.position);
    } else this.#applyChanges(news.changes, news.position);
  }

  /** Records that another process has the same, which was current recently. */
  confirm(ageMs: number): void {
    this.#confirmation.record(ageMs);
  }

  [Symbol.dispose](): void {
    this.#isStopped = true;
    this.#table[Symbol.dispose]();
    this.#resume();
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#isPaused && this.#position !== undefined) {
        await new Promise<void>((resolve) => this.#resume = resolve);
        continue;
      }
      this.#calledAtMs = this.#options.timers.nowMs();
      try {
        await this.#update();
        this.#recordSuccess();
      } catch (thrown) {
        await this.#waitBeforeRetry(thrown);
      }
    }
  }

  async #update(): Promise<void> {
    const { getWatchMs, source } = this.#options;
    if (this.#position === undefined) {
      const { objects, position } = await source.list();
      this.#recordSuccess();
      this.#ageAtChangeMs = this.getAgeMs();
      // Another process may have sent a later list meanwhile.
      if (!isLaterPosition(this.position, position)) {
        this.#applyList(objects, position);
      }
      this.#confirmation.record();
      return;
    }
    // During an outage, short calls detect the store's return sooner.
    const waitMs = this.#failures > 0 ? probeWaitMs : getWatchMs();
    const since = this.#position;
    const result = await source.watch(since, waitMs);
    this.#recordSuccess();
    // Another process sent changes meanwhile, which older ones must not undo.
    if (isLaterPosition(this.position, since)) return;
    if (result.type === "expired") {
      this.#options.logger.info("history-expired", {
        kind: this.#options.name,
        ...this.#position,
      });
      this.#position = undefined;
      await this.#waitAfterExpiry();
      return;
    }
    this.#expiries = 0;
    this.#ageAtChangeMs = this.getAgeMs();
    this.#confirmation.record();
    if (!isLaterPosition(result.position, this.position)) return;
    this.#applyChanges(result.changes, result.position);
    if (result.changes.length === 0) return;
    // Changes come in bursts; the next call fetches the rest of a burst.
    await wait(this.#options.timers, burstPauseMs);
  }

  /**
   * Waits before a list if the last one has expired at once. A store that
   * answers from an old copy lists what it no longer has the history of.
   */
  async #waitAfterExpiry(): Promise<void> {
    const { random, timers } = this.#options;
    this.#expiries += 1;
    if (this.#expiries === 1) return;
    const limitMs = Math.min(
      maxExpiryPauseMs,
      burstPauseMs * 2 ** (this.#expiries - 2),
    );
    await wait(timers, limitMs * (0.5 + random.getFloat() / 2));
  }

  /** Applies changes, also those that others lack. */
  #applyChanges(
    changes: readonly ObjectChange<Value>[],
    position: StorePosition,
  ): void {
    for (const { name, value } of changes) this.#table.apply(name, value);
    this.#log.append(changes, position);
    this.#position = position;
    if (changes.length > 0) this.#publish();
  }

  #applyList(objects: Map<string, Value>, position: StorePosition): void {
    if (this.#epoch !== undefined && this.#epoch !== position.epoch) {
      this.#recordRestore(position.epoch);
    }
    this.#table.replace(this.#wasRestored ? this.#resolve(objects) : objects);
    this.#epoch = position.epoch;
    this.#position = position;
    this.#log.restart(position);
    this.#publish();
  }

  /** Records that the store was restored from an older copy. */
  #recordRestore(epoch: number): void {
    const { keepMissingMs, logger, name } = this.#options;
    logger.warn("store-restored", { kind: name, before: this.#epoch, epoch });
    this.#wasRestored = true;
    this.#table.keepMissingFor(keepMissingMs);
  }

  /**
   * Chooses between the objects of a restored store and what is known. Each list
   * may still have entries of the copy, not only the first one.
   */
  #resolve(objects: Map<string, Value>): Map<string, Value> {
    const { resolveRestored } = this.#options;
    if (resolveRestored === undefined) return objects;
    const resolved = new Map<string, Value>();
    for (const [key, restored] of objects) {
      const value = resolveRestored(key, restored);
      if (value !== undefined) resolved.set(key, value);
    }
    return resolved;
  }

  #publish(): void {
    this.#options.onObjects(this.#table.objects);
  }

  /** Records that the store answered; ends an outage if there was one. */
  #recordSuccess(): void {
    this.#hasAnswered = true;
    const failures = this.#failures;
    if (failures === 0) return;
    this.#failures = 0;
    const { keepMissingMs, logger, name, timers } = this.#options;
    const wasOutage = failures >= minOutageFailures;
    logger.info("store-regained", { kind: name, failures, wasOutage });
    if (!wasOutage) return;
    // The store may have returned as early as during the last failed call.
    const sinceMs = timers.nowMs() - this.#failedCallAtMs;
    this.#table.keepMissingFor(keepMissingMs - sinceMs);
  }

  async #waitBeforeRetry(thrown: unknown): Promise<void> {
    const { getMaxBackoffMs, logger, metrics, name, random, timers } =
      this.#options;
    const error = normalizeError(thrown);
    this.#failures += 1;
    this.#failedCallAtMs = this.#calledAtMs;
    if (this.#failures === 1) {
      metrics.countStoreLost(name);
      logger.warn("store-lost", {
        kind: name,
        code: error.code,
        detail: error.message,
        ...this.#position,
      });
    }
    const limitMs = Math.min(
      initialBackoffMs * 2 ** Math.min(this.#failures - 1, 6),
      getMaxBackoffMs?.() ?? defaultMaxBackoffMs,
    );
    await wait(timers, limitMs * (0.5 + random.getFloat() / 2));
  }
}

/**
 * Failed calls in a row from which the store counts as unavailable. A single one
 * may have lost its connection while the store answered others; what is missing
 * then was removed.
 */
const minOutageFailures = 2;

/** Pause after changes; well below the permitted delay of changes. */
const burstPauseMs = 150;

/** Maximum pause between lists that expire at once. */
const maxExpiryPauseMs = 1200;

/** Maximum wait of a watch while the store does not answer. */
const probeWaitMs = 50;

/** Maximum pause after the first failed call; doubled with each further one. */
const initialBackoffMs = 100;

/** Maximum pause between calls to a store that does not answer. */
const defaultMaxBackoffMs = 800;
