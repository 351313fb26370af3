import type { AttemptId, Epoch } from "../tables/mod.ts";
import { AppError, assertInvariant } from "../results/mod.ts";

/** State of one attempt at a sidecar. */
export type AttemptRow = {
  id: AttemptId;
  /** A `tombstoned` attempt was not run and will not be. */
  state: "running" | "done" | "tombstoned";
  /** Time after which the row may be deleted, unless the attempt runs. */
  expiresAtMs: number;
};

/** Outcome of an attempt whose answer a router has not received. */
export type Settlement =
  /** It was not run, and the sidecar will not run it in this epoch. */
  | { type: "tombstoned" }
  | { type: "running" }
  | { type: "done" }
  /** Nothing is known: the sidecar has restarted, so the epoch differs. */
  | { type: "unknown" };

/** Epoch of an attempt table and retention of its rows. */
export type AttemptTableOptions = {
  epoch: Epoch;
  /** Longest time between a request and its settlement. */
  retentionMs: number;
};

/**
 * The attempts that one sidecar has received in its epoch. Only the settlement
 * from this table allows a router to report that a request it has sent was not
 * run.
 */
export class AttemptTable {
  readonly epoch: Epoch;
  readonly #retentionMs: number;
  readonly #rows = new Map<AttemptId, AttemptRow>();

  private constructor(options: AttemptTableOptions) {
    this.epoch = options.epoch;
    this.#retentionMs = options.retentionMs;
  }

  /** Creates an empty table for an epoch. */
  static create(options: AttemptTableOptions): AttemptTable {
    return new AttemptTable(options);
  }

  /** Number of rows. */
  get size(): number {
    return this.#rows.size;
  }

  /** Gets the row of an attempt. */
  get(id: AttemptId): AttemptRow | undefined {
    return this.#rows.get(id);
  }

  /**
   * Begins an attempt.
   *
   * @throws AppError `epochMismatch` or `attemptTombstoned`; this call did not
   * begin the attempt.
   */
  begin(id: AttemptId, options: { epoch: Epoch; nowMs: number }): void {
    if (options.epoch !== this.epoch) {
      throw AppError.create(
        "epochMismatch",
        `Request expects epoch ${options.epoch}, current is ${this.epoch}`,
      );
    }
    const row = this.#rows.get(id);
    if (row !== undefined) {
      throw AppError.create(
        "attemptTombstoned",
        `Attempt ${id} is already ${row.state}`,
        { executed: row.state === "tombstoned" ? "no" : "unknown" },
      );
    }
    this.#rows.set(id, {
      id,
      state: "running",
      expiresAtMs: options.nowMs + this.#retentionMs,
    });
  }

  /** Records that an attempt has ended. */
  complete(id: AttemptId, nowMs: number): void {
    const row = this.#rows.get(id);
    assertInvariant(
      row?.state === "running",
      "attempt-completes-once",
      () => `attempt ${id} is ${row?.state ?? "absent"}`,
    );
    if (row === undefined) return;
    row.state = "done";
    row.expiresAtMs = nowMs + this.#retentionMs;
  }

  /** Tombstones an attempt that was refused before it reached the runner. */
  refuse(id: AttemptId, nowMs: number): void {
    this.#tombstone(id, nowMs);
  }

  /**
   * Settles an attempt. An attempt that has not been received is tombstoned, so
   * that it is refused if it arrives later.
   */
  settle(
    id: AttemptId,
    options: { epoch: Epoch; nowMs: number },
  ): Settlement {
    if (options.epoch !== this.epoch) return { type: "unknown" };
    const row = this.#rows.get(id);
    if (row !== undefined) return { type: row.state };
    this.#tombstone(id, options.nowMs);
    return { type: "tombstoned" };
  }

  /** Deletes the expired rows of attempts that are not running. */
  expire(nowMs: number): void {
    for (const row of this.#rows.values()) {
      if (row.state !== "running" && row.expiresAtMs <= nowMs) {
        this.#rows.delete(row.id);
      }
    }
  }

  #tombstone(id: AttemptId, nowMs: number): void {
    this.#rows.set(id, {
      id,
      state: "tombstoned",
      expiresAtMs: nowMs + this.#retentionMs,
    });
  }
}
