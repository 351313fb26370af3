import { AttemptTable } from "@jasminetide/core/attempts";
import { AppError } from "@jasminetide/core/results";
import type { AttemptId, Epoch } from "@jasminetide/core/tables";
import { AnswerBuffer } from "../answers/mod.ts";

/** An attempt, its buffered answer and the controller that cancels it. */
export type StoredAttempt = {
  answer: AnswerBuffer;
  abort: AbortController;
  /** Whether the attempt may be cancelled while it has no readers. */
  isIdempotent: boolean;
  /** Number of connections that wait for the answer or read it. */
  readerCount: number;
  /** Time at which the attempt began or its last reader left. */
  lastReadAtMs: number;
};

/** Epoch, retention and timeout of the attempts of a store. */
export type AttemptStoreOptions = {
  epoch: Epoch;
  /** Time for which the outcome of an attempt is kept. */
  retentionMs: number;
  /** Time for which an ended answer without readers is kept. */
  answerRetentionMs: number;
  /** Time after which an idempotent attempt without readers is cancelled. */
  orphanMs: number;
};

/** Options of a new attempt. */
export type BeginOptions = {
  epoch: Epoch;
  isIdempotent: boolean;
  nowMs: number;
};

/** The attempts of one sidecar with their answers. */
export class AttemptStore {
  readonly #options: AttemptStoreOptions;
  readonly #table: AttemptTable;
  readonly #attempts = new Map<AttemptId, StoredAttempt>();

  private constructor(options: AttemptStoreOptions) {
    this.#options = options;
    this.#table = AttemptTable.create(options);
  }

  /** Creates an empty store. */
  static create(options: AttemptStoreOptions): AttemptStore {
    return new AttemptStore(options);
  }

  get epoch(): Epoch {
    return this.#table.epoch;
  }

  get size(): number {
    return this.#table.size;
  }

  /** Number of attempts that run or whose answer is being read. */
  get activeCount(): number {
    let count = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.answer.state === "open" || attempt.readerCount > 0) {
        count += 1;
      }
    }
    return count;
  }

  /**
   * Begins an attempt.
   *
   * @throws AppError `epochMismatch` or `attemptTombstoned`; this call did not
   * begin the attempt.
   */
  begin(id: AttemptId, options: BeginOptions): StoredAttempt {
    this.#table.begin(id, options);
    const attempt = {
      answer: AnswerBuffer.create(),
      abort: new AbortController(),
      isIdempotent: options.isIdempotent,
      readerCount: 0,
      lastReadAtMs: options.nowMs,
    };
    this.#attempts.set(id, attempt);
    return attempt;
  }

  /** Registers a reader of the answer until the result is disposed. */
  addReader(attempt: StoredAttempt, getNowMs: () => number): Disposable {
    attempt.readerCount += 1;
    return {
      [Symbol.dispose]: () => {
        attempt.readerCount -= 1;
        attempt.lastReadAtMs = getNowMs();
      },
    };
  }

  /** Records that the answer has ended, complete or not. */
  complete(id: AttemptId, nowMs: number): void {
    this.#table.complete(id, nowMs);
  }

  /** Records that the attempt was refused and not run. */
  refuse(id: AttemptId, nowMs: number): void {
    this.#table.refuse(id, nowMs);
  }

  /** Cancels an attempt if it is idempotent. */
  cancel(id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.isIdempotent !== true) return;
    attempt.abort.abort(
      AppError.create(
        "callerGone",
        "Attempt was cancelled because no caller waits for its answer",
      ),
    );
  }

  /**
   * Settles an attempt and gets its answer.
   *
   * @throws AppError `attemptTombstoned`, which guarantees that the attempt was
   * not run and will not be in this epoch, or `epochMismatch` if no answer is
   * stored: "executed" is "yes" for an attempt that is done, else "unknown".
   */
  settleAnswer(
    id: AttemptId,
    options: { epoch: Epoch; nowMs: number },
  ): StoredAttempt {
    const settlement = this.#table.settle(id, options);
    const attempt = this.#attempts.get(id);
    if (settlement.type !== "unknown" && attempt !== undefined) return attempt;
    if (settlement.type === "tombstoned") {
      throw AppError.create("attemptTombstoned", `Attempt ${id} was not run`);
    }
    throw AppError.create(
      "epochMismatch",
      `No answer is stored for attempt ${id} of epoch ${options.epoch}`,
      { executed: settlement.type === "done" ? "yes" : "unknown" },
    );
  }

  /**
   * Cancels running attempts without readers, and removes answers and outcomes
   * whose retention is over.
   */
  expire(nowMs: number): void {
    this.#table.expire(nowMs);
    for (const [id, attempt] of this.#attempts) {
      const isRetained = this.#table.get(id) !== undefined;
      if (!isRetained || this.#isAnswerExpired(attempt, nowMs)) {
        this.#attempts.delete(id);
      } else if (this.#isOrphan(attempt, nowMs)) this.cancel(id);
    }
  }

  #isAnswerExpired(attempt: StoredAttempt, nowMs: number): boolean {
    return attempt.answer.state !== "open" && attempt.readerCount === 0 &&
      nowMs - attempt.lastReadAtMs >= this.#options.answerRetentionMs;
  }

  #isOrphan(attempt: StoredAttempt, nowMs: number): boolean {
    return attempt.answer.state === "open" && attempt.readerCount === 0 &&
      nowMs - attempt.lastReadAtMs >= this.#options.orphanMs;
  }
}
