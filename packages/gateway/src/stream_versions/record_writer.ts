import { normalizeError } from "@jasminetide/core/results";
import {
  type TimerService,
  type TimerSubscription,
  wait,
} from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { StreamRecord, StreamRegistry } from "./stream_registry.ts";

/** Options of a writer of this gateway's record. */
export type RecordWriterOptions = {
  /** Name of this gateway. */
  name: string;
  registry: StreamRegistry;
  timers: TimerService;
  logger: Logger;
  createRecord: () => StreamRecord;
  /** Gets the least time between two writes. */
  getPeriodMs: () => number;
};

/** Writes this gateway's record when it has changed, and now and then. */
export class RecordWriter {
  readonly #options: RecordWriterOptions;
  readonly #refresh: TimerSubscription;
  #writtenAtMs: number | undefined;
  /** Numbers of the last request, and of the last that was written. */
  #lastRequest = 0;
  #writtenRequest = 0;
  #hasFailed = false;
  #nextWrite: Promise<void> = Promise.resolve();
  #isWriting = false;
  #isDisposed = false;

  private constructor(options: RecordWriterOptions) {
    this.#options = options;
    this.#refresh = options.timers.subscribe(
      refreshPeriodMs,
      () => this.requestWrite(),
    );
  }

  /** Creates a writer, which has written nothing yet. */
  static create(options: RecordWriterOptions): RecordWriter {
    return new RecordWriter(options);
  }

  /**
   * Requests a write; several requests within a short time share one.
   *
   * @returns number of the request.
   */
  requestWrite(): number {
    this.#lastRequest += 1;
    if (!this.#isWriting) void this.#writeRequested();
    return this.#lastRequest;
  }

  /** Whether the store has what a request was for. */
  isWritten(request: number): boolean {
    return this.#writtenRequest >= request;
  }

  /** Waits until the store has what a request was for, or writes fail. */
  async waitUntilWritten(request: number): Promise<void> {
    while (!this.isWritten(request) && !this.#hasFailed && !this.#isDisposed) {
      await this.#nextWrite;
    }
  }

  /** Requests a write if the store lacks the record that was written last. */
  checkWritten(records: ReadonlyMap<string, StreamRecord>): void {
    if (this.#isWriting || this.#writtenAtMs === undefined) return;
    const written = records.get(this.#options.name);
    if (written?.writtenAtMs !== this.#writtenAtMs) this.requestWrite();
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#refresh[Symbol.dispose]();
  }

  async #writeRequested(): Promise<void> {
    const { getPeriodMs, timers } = this.#options;
    this.#isWriting = true;
    while (this.#lastRequest > this.#writtenRequest && !this.#isDisposed) {
      this.#nextWrite = this.#write();
      await this.#nextWrite;
      const retryMs = this.#hasFailed ? retryPeriodMs : 0;
      this.#nextWrite = wait(timers, Math.max(getPeriodMs(), retryMs));
      await this.#nextWrite;
    }
    this.#isWriting = false;
  }

  async #write(): Promise<void> {
    const { createRecord, logger, name, registry } = this.#options;
    const record = createRecord();
    const request = this.#lastRequest;
    try {
      await registry.write(name, record);
      this.#writtenAtMs = record.writtenAtMs;
      this.#writtenRequest = request;
      this.#hasFailed = false;
    } catch (thrown) {
      this.#hasFailed = true;
      const detail = normalizeError(thrown).message;
      logger.warn("stream-record-unwritten", { detail });
    }
  }
}

/** Least pause after a write that failed. */
const retryPeriodMs = 1000;

/** Time after which a record is written again, so that it does not look old. */
const refreshPeriodMs = 30_000;
