import { AttemptTable, type Settlement } from "@jasminetide/core/attempts";
import { AppError } from "@jasminetide/core/results";
import type { AttemptId, Epoch } from "@jasminetide/core/tables";
import { AnswerBuffer } from "../answers/mod.ts";

/** An attempt with its answer and the means to cancel it. */
export type StoredAttempt = {
  answer: AnswerBuffer;
  abort: AbortController;
};

/** How attempts are kept. */
export type AttemptStoreOptions = { epoch: Epoch; retentionMs: number };

/** The attempts of one sidecar with their answers. */
export class AttemptStore {
  readonly #table: AttemptTable;
  readonly #answers = new Map<AttemptId, StoredAttempt>();

  private constructor(options: AttemptStoreOptions) {
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

  /** Begins an attempt, or throws that it is not run. */
  begin(
    id: AttemptId,
    options: { epoch: Epoch; nowMs: number },
  ): StoredAttempt {
    this.#table.begin(id, options);
    const attempt = {
      answer: AnswerBuffer.create(),
      abort: new AbortController(),
    };
    this.#answers.set(id, attempt);
    return attempt;
  }

  /** Gets an attempt whose answer is kept. */
  get(id: AttemptId): StoredAttempt {
    const attempt = this.#answers.get(id);
    if (attempt !== undefined) return attempt;
    throw AppError.create("notFound", `No answer is kept for attempt ${id}`);
  }

  /** Records that the answer has ended, whole or not. */
  complete(id: AttemptId, nowMs: number): void {
    this.#table.complete(id, nowMs);
  }

  /** Records that the attempt was refused and not run. */
  refuse(id: AttemptId, nowMs: number): void {
    this.#table.refuse(id, nowMs);
    this.#answers.delete(id);
  }

  /** Cancels an attempt if it still runs. */
  cancel(id: AttemptId): void {
    this.#answers.get(id)?.abort.abort();
  }

  /** Says what became of an attempt. */
  settle(
    id: AttemptId,
    options: { epoch: Epoch; nowMs: number },
  ): Settlement {
    return this.#table.settle(id, options);
  }

  /** Forgets attempts and answers whose time is over. */
  expire(nowMs: number): void {
    this.#table.expire(nowMs);
    for (const id of this.#answers.keys()) {
      if (this.#table.get(id) === undefined) this.#answers.delete(id);
    }
  }
}
