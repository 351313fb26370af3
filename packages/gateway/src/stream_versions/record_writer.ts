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
};

/** Writes this gateway's record when it has changed, and now and then. */
export class RecordWriter {
  readonly #options: RecordWriterOptions;
  readonly #refresh: TimerSubscription;
  #writtenAtMs: number | undefined;
  #isRequested = false;
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

  /** Requests a write; several requests within a short time share one. */
  requestWrite(): void {
    this.#isRequested = true;
    if (!this.#isWriting) void this.#writeRequested();
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
    const { timers } = this.#options;
    this.#isWriting = true;
    while (this.#isRequested && !this.#isDisposed) {
      this.#isRequested = false;
      await this.#write();
      await wait(timers, minPeriodMs);
    }
    this.#isWriting = false;
  }

  async #write(): Promise<void> {
    const { createRecord, logger, name, registry } = this.#options;
    const record = createRecord();
    try {
      await registry.write(name, record);
      this.#writtenAtMs = record.writtenAtMs;
    } catch (thrown) {
      this.#isRequested = true;
      const detail = normalizeError(thrown).message;
      logger.warn("stream-record-unwritten", { detail });
    }
  }
}

/** Least time between two writes. */
const minPeriodMs = 200;

/** Time after which a record is written again, so that it does not look old. */
const refreshPeriodMs = 30_000;
