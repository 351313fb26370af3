import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import {
  type TimerService,
  type TimerSubscription,
  wait,
} from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { ObjectSource } from "./object_source.ts";

/** What following the objects of one kind needs. */
export type ObjectFollowerOptions<Value> = {
  /** Name of the kind in logs. */
  name: string;
  source: ObjectSource<Value>;
  /** Longest wait of one watch; bounds how long a dead connection is kept. */
  watchMs: number;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: Pick<GatewayMetrics, "countStoreLost">;
  /** Called with all objects after each change. */
  onObjects: (objects: ReadonlyMap<string, Value>) => void;
  /**
   * Time from the last call of an outage for which objects that went missing
   * are kept, since their writers may put them back.
   */
  keepMissingMs: number;
};

/** Keeps a copy of the objects of one kind by watching them. */
export class ObjectFollower<Value> {
  readonly #options: ObjectFollowerOptions<Value>;
  #objects = new Map<string, Value>();
  readonly #missing = new Set<string>();
  #revision: number | undefined;
  #failures = 0;
  #calledAtMs = 0;
  #failedCallAtMs = 0;
  #keepMissingUntilMs = 0;
  #dropTimer: TimerSubscription | undefined;
  #isStopped = false;

  private constructor(options: ObjectFollowerOptions<Value>) {
    this.#options = options;
  }

  /** Starts to follow. */
  static create<Value>(
    options: ObjectFollowerOptions<Value>,
  ): ObjectFollower<Value> {
    const follower = new ObjectFollower(options);
    void follower.#run();
    return follower;
  }

  /** Whether the store answered the last call. */
  get isConnected(): boolean {
    return this.#revision !== undefined && this.#failures === 0;
  }

  /** Revision of the store up to which changes were taken in, 0 before. */
  get revision(): number {
    return this.#revision ?? 0;
  }

  [Symbol.dispose](): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      this.#calledAtMs = this.#options.timers.nowMs();
      try {
        await this.#runOnce();
        this.#recordReturn();
      } catch (thrown) {
        await this.#waitBeforeRetry(thrown);
      }
    }
  }

  async #runOnce(): Promise<void> {
    const { source, watchMs } = this.#options;
    if (this.#revision === undefined) {
      const { objects, revision } = await source.list();
      this.#recordReturn();
      this.#replace(objects);
      this.#revision = revision;
      return;
    }
    // While the store does not answer, short calls notice its return sooner.
    const waitMs = this.#failures > 0 ? probeWaitMs : watchMs;
    const result = await source.watch(this.#revision, waitMs);
    this.#recordReturn();
    if (result.type === "expired") {
      this.#options.logger.info("history-expired", {
        kind: this.#options.name,
        revision: this.#revision,
      });
      this.#revision = undefined;
      return;
    }
    for (const { name, value } of result.changes) {
      this.#applyChange(name, value);
    }
    this.#revision = result.revision;
    if (result.changes.length === 0) return;
    this.#publish();
    // Changes come in bursts; the next call brings what follows at once.
    await wait(this.#options.timers, burstMs);
  }

  #replace(objects: Map<string, Value>): void {
    for (const name of this.#objects.keys()) {
      if (!objects.has(name)) this.#applyChange(name, undefined);
    }
    for (const [name, value] of objects) this.#applyChange(name, value);
    this.#publish();
  }

  #applyChange(name: string, value: Value | undefined): void {
    if (value !== undefined) {
      this.#missing.delete(name);
      this.#objects.set(name, value);
      return;
    }
    if (this.#options.timers.nowMs() < this.#keepMissingUntilMs) {
      this.#missing.add(name);
    } else this.#objects.delete(name);
  }

  #publish(): void {
    this.#options.onObjects(this.#objects);
  }

  /** Takes in that the store answers, after an outage too. */
  #recordReturn(): void {
    if (this.#failures === 0) return;
    const { keepMissingMs, logger, name, timers } = this.#options;
    logger.info("store-regained", { kind: name, failures: this.#failures });
    this.#failures = 0;
    // The store may have come back as early as the last call that failed.
    this.#keepMissingUntilMs = this.#failedCallAtMs + keepMissingMs;
    const leftMs = Math.max(0, this.#keepMissingUntilMs - timers.nowMs());
    this.#dropTimer?.[Symbol.dispose]();
    this.#dropTimer = timers.schedule(leftMs, () => this.#dropMissing());
  }

  #dropMissing(): void {
    this.#keepMissingUntilMs = 0;
    if (this.#missing.size === 0) return;
    for (const name of this.#missing) this.#objects.delete(name);
    this.#missing.clear();
    this.#publish();
  }

  async #waitBeforeRetry(thrown: unknown): Promise<void> {
    const { logger, metrics, name, random, timers } = this.#options;
    const error = normalizeError(thrown);
    this.#failures += 1;
    this.#failedCallAtMs = this.#calledAtMs;
    if (this.#failures === 1) {
      metrics.countStoreLost(name);
      logger.warn("store-lost", {
        kind: name,
        code: error.code,
        detail: error.message,
        revision: this.#revision,
      });
    }
    const boundMs = Math.min(
      firstBackOffMs * 2 ** Math.min(this.#failures - 1, 4),
      maxBackOffMs,
    );
    await wait(timers, boundMs * (0.5 + random.getFloat() / 2));
  }
}

/** Pause after a change, well below the time in which changes must be known. */
const burstMs = 150;

/** Wait of a watch while the store does not answer. */
const probeWaitMs = 50;

const firstBackOffMs = 100;

/** Longest pause between calls to a store that does not answer. */
const maxBackOffMs = 800;
