import { AttemptTable } from "@jasminetide/core/attempts";
import { AppError } from "@jasminetide/core/results";
import type { AttemptId, Epoch } from "@jasminetide/core/tables";
import { AnswerBuffer } from "../answers/mod.ts";

/** An attempt with its answer and the means to cancel it. */
export type StoredAttempt = {
  answer: AnswerBuffer;
  abort: AbortController;
  /** Whether it may be cancelled when nobody waits for its answer. */
  isIdempotent: boolean;
  /** Connections that wait for the answer or read it. */
  readers: number;
  /** Time since which nobody has read. */
  unreadSinceMs: number;
};

/** How attempts are kept. */
export type AttemptStoreOptions = {
  epoch: Epoch;
  /** Time for which it is known what became of an attempt. */
  retentionMs: number;
  /** Time for which a whole answer that nobody reads is kept. */
  answerRetentionMs: number;
  /** Time after which an idempotent attempt without readers is cancelled. */
  orphanMs: number;
};

/** What begins an attempt. */
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

  /** Attempts that run or whose answer is still read. */
  get active(): number {
    let count = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.answer.state === "open" || attempt.readers > 0) count += 1;
    }
    return count;
  }

  /** Begins an attempt, or throws that it is not run. */
  begin(id: AttemptId, options: BeginOptions): StoredAttempt {
    this.#table.begin(id, options);
    const attempt = {
      answer: AnswerBuffer.create(),
      abort: new AbortController(),
      isIdempotent: options.isIdempotent,
      readers: 0,
      unreadSinceMs: options.nowMs,
    };
    this.#attempts.set(id, attempt);
    return attempt;
  }

  /** Counts a reader until disposed. */
  addReader(attempt: StoredAttempt, getNowMs: () => number): Disposable {
    attempt.readers += 1;
    return {
      [Symbol.dispose]: () => {
        attempt.readers -= 1;
        attempt.unreadSinceMs = getNowMs();
      },
    };
  }

  /** Records that the answer has ended, whole or not. */
  complete(id: AttemptId, nowMs: number): void {
    this.#table.complete(id, nowMs);
  }

  /** Records that the attempt was refused and not run. */
  refuse(id: AttemptId, nowMs: number): void {
    this.#table.refuse(id, nowMs);
  }

  /** Cancels an attempt if it may be cancelled. */
  cancel(id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.isIdempotent !== true) return;
    attempt.abort.abort(
      AppError.create("callerGone", "Nobody waits for the answer"),
    );
  }

  /**
   * Settles an attempt and gets its answer.
   *
   * @throws AppError `attemptTombstoned`, which is a promise that it was not
   * run, or `epochMismatch` with nothing known of its execution.
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
      `No answer is kept of attempt ${id} of epoch ${options.epoch}`,
      { executed: settlement.type === "done" ? "yes" : "unknown" },
    );
  }

  /** Cancels attempts without readers and forgets those long ended. */
  expire(nowMs: number): void {
    this.#table.expire(nowMs);
    for (const [id, attempt] of this.#attempts) {
      const isKnown = this.#table.get(id) !== undefined;
      if (!isKnown || this.#isOutdated(attempt, nowMs)) {
        this.#attempts.delete(id);
      } else if (this.#isOrphan(attempt, nowMs)) this.cancel(id);
    }
  }

  #isOutdated(attempt: StoredAttempt, nowMs: number): boolean {
    return attempt.answer.state !== "open" && attempt.readers === 0 &&
      nowMs - attempt.unreadSinceMs >= this.#options.answerRetentionMs;
  }

  #isOrphan(attempt: StoredAttempt, nowMs: number): boolean {
    return attempt.answer.state === "open" && attempt.readers === 0 &&
      nowMs - attempt.unreadSinceMs >= this.#options.orphanMs;
  }
}
