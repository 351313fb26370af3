import type { AttemptId, Epoch } from "../tables/mod.ts";
import { AppError, assertInvariant } from "../results/mod.ts";

/** What a sidecar knows of one attempt. */
export type AttemptRow = {
  id: AttemptId;
  /** `tombstoned` attempts were never run and never will be. */
  state: "running" | "done" | "tombstoned";
  /** Time after which the row may be forgotten. */
  expiresAtMs: number;
};

/** Answer to a question about an attempt whose own answer did not arrive. */
export type Settlement =
  /** It was not run, and this epoch will never run it. */
  | { type: "tombstoned" }
  | { type: "running" }
  | { type: "done" }
  /** The sidecar was restarted or has forgotten: nothing can be said. */
  | { type: "unknown" };

/** How long rows are kept. */
export type AttemptTableOptions = {
  epoch: Epoch;
  /** Longest time between a request and a question about it. */
  retentionMs: number;
};

/**
 * The attempts that one sidecar has seen in its epoch. It is the only ground
 * on which a router may say that a request it had sent was not run.
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
   * @throws AppError `epochMismatch` or `attemptTombstoned`; it was not run.
   */
  begin(id: AttemptId, options: { epoch: Epoch; nowMs: number }): void {
    if (options.epoch !== this.epoch) {
      throw AppError.create(
        "epochMismatch",
        `Request expects epoch ${options.epoch}, this is ${this.epoch}`,
      );
    }
    const row = this.#rows.get(id);
    if (row !== undefined) {
      throw AppError.create(
        "attemptTombstoned",
        `Attempt ${id} is ${row.state} already`,
        { executed: row.state === "tombstoned" ? "no" : "unknown" },
      );
    }
    this.#rows.set(id, {
      id,
      state: "running",
      expiresAtMs: options.nowMs + this.#retentionMs,
    });
  }

  /** Records that an attempt has its whole answer. */
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

  /** Records that a begun attempt was refused before it reached the runner. */
  refuse(id: AttemptId, nowMs: number): void {
    this.#tombstone(id, nowMs);
  }

  /**
   * Settles an attempt. One that was never received is tombstoned, so that it
   * is refused should it arrive later.
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

  /** Forgets rows whose time is over. */
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
