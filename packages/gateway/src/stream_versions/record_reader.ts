import { normalizeError } from "@jasminetide/core/results";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { StreamRecord, StreamRegistry } from "./stream_registry.ts";

/** Options of a reader of records. */
export type RecordReaderOptions = {
  registry: StreamRegistry;
  timers: TimerService;
  logger: Logger;
  /** Called with the records of all gateways after each read. */
  onRecords: (
    records: ReadonlyMap<string, StreamRecord>,
    options: { isFirst: boolean },
  ) => void;
};

/** Reads the records of all gateways, at the start and when asked to. */
export class RecordReader {
  readonly #options: RecordReaderOptions;
  readonly #loaded: Promise<void>;
  #resolveLoaded: () => void = () => {};
  #isLoaded = false;
  #isDisposed = false;
  #startedAtMs = Number.NEGATIVE_INFINITY;
  #current: Promise<boolean> = Promise.resolve(false);
  #next: Promise<boolean> | undefined;

  private constructor(options: RecordReaderOptions) {
    this.#options = options;
    this.#loaded = new Promise((resolve) => {
      this.#resolveLoaded = resolve;
    });
    void this.#load();
  }

  /** Creates a reader, which reads until it has succeeded once. */
  static create(options: RecordReaderOptions): RecordReader {
    return new RecordReader(options);
  }

  /** Whether the records were read once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Resolves when the records were read once. */
  get loaded(): Promise<void> {
    return this.#loaded;
  }

  /**
   * Reads the records as they are from now on; calls share a read that has not
   * begun.
   *
   * @returns whether they were read.
   */
  read(): Promise<boolean> {
    this.#next ??= this.#startNext();
    return this.#next;
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
  }

  async #load(): Promise<void> {
    while (!this.#isLoaded && !this.#isDisposed) {
      await this.read();
      if (!this.#isLoaded) await wait(this.#options.timers, retryPeriodMs);
    }
  }

  async #startNext(): Promise<boolean> {
    const { timers } = this.#options;
    await this.#current;
    const waitMs = this.#startedAtMs + minPeriodMs - timers.nowMs();
    if (waitMs > 0) await wait(timers, waitMs);
    this.#next = undefined;
    this.#startedAtMs = timers.nowMs();
    this.#current = this.#readOnce();
    return await this.#current;
  }

  async #readOnce(): Promise<boolean> {
    const { logger, onRecords, registry } = this.#options;
    if (this.#isDisposed) return false;
    try {
      const records = await registry.list();
      onRecords(records, { isFirst: !this.#isLoaded });
      this.#isLoaded = true;
      this.#resolveLoaded();
      return true;
    } catch (thrown) {
      const detail = normalizeError(thrown).message;
      logger.warn("stream-records-unread", { detail });
      return false;
    }
  }
}

/** Pause before another attempt to read the records at the start. */
const retryPeriodMs = 500;

/** Least time between the starts of two reads. */
const minPeriodMs = 150;
