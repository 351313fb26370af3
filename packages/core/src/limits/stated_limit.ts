import type { KnownRouters } from "../hashing/mod.ts";
import { KnownShare } from "./known_share.ts";
import { getLimitShare } from "./limit_share.ts";
import type { Quota } from "./quota.ts";
import { QuotaBucket } from "./quota_bucket.ts";

/** How a runner's statement differs from its last one. */
export type LimitChange =
  | { type: "begun"; perSecond: number }
  | { type: "changed"; perSecond: number; beforePerSecond: number }
  | { type: "ended"; beforePerSecond: number };

/** A runner and the routers that may send requests to it. */
export type LimitUse = {
  nowMs: number;
  /** `hash32` of the runner's id. */
  runnerHash: number;
  sharers: KnownRouters;
};

/** What a router has learned of a limit, as it is sent to other routers. */
export type LimitStatement = {
  runnerId: string;
  /** Start of the runner's process, in Unix milliseconds. */
  startedAtMs: number;
  /** Requests a second; undefined if the runner states no limit any more. */
  perSecond?: number;
  ageMs: number;
};

type Statement = { perSecond: number; bucket: QuotaBucket };

/**
 * Limit on the requests of all routers together that a runner process states in
 * its answers, for as long as it does. This router keeps to its share of it.
 */
export class StatedLimit {
  #statement: Statement | undefined;
  #statedAtMs = Number.NEGATIVE_INFINITY;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  readonly #share = KnownShare.create(getLimitShare);

  private constructor() {}

  /** Creates the limit of a process that has stated none. */
  static create(): StatedLimit {
    return new StatedLimit();
  }

  /** Time at which an answer to this router last stated something. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /**
   * Records what an answer states.
   *
   * @param perSecond requests a second; undefined if it states no limit.
   * @returns the change if it is more than slight.
   */
  record(
    perSecond: number | undefined,
    nowMs: number,
  ): LimitChange | undefined {
    this.#heardAtMs = nowMs;
    return this.merge(perSecond, { ageMs: 0, nowMs });
  }

  /**
   * Takes in what an answer to another router stated, unless this router knows
   * of a later one.
   *
   * @returns the change if it is more than slight.
   */
  merge(
    perSecond: number | undefined,
    { ageMs, nowMs }: { ageMs: number; nowMs: number },
  ): LimitChange | undefined {
    const statedAtMs = nowMs - ageMs;
    if (statedAtMs < this.#statedAtMs) return undefined;
    const before = this.#getStatement(nowMs);
    const bucket = before?.bucket ?? QuotaBucket.create(nowMs);
    this.#statedAtMs = statedAtMs;
    this.#statement = perSecond === undefined
      ? undefined
      : { perSecond, bucket };
    return describeChange(before?.perSecond, perSecond);
  }

  /** Gets the age of the last statement. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.#statedAtMs;
  }

  /** Gets the limit in requests a second; undefined if none is stated. */
  getPerSecond(nowMs: number): number | undefined {
    return this.#getStatement(nowMs)?.perSecond;
  }

  /**
   * Gets the time until this router may send a request: 0 if it may now,
   * infinite if it has no share.
   */
  getWaitMs(use: LimitUse): number {
    const statement = this.#getStatement(use.nowMs);
    if (statement === undefined) return 0;
    const { runnerHash, sharers } = use;
    const of = { perSecond: statement.perSecond, runnerHash };
    const perSecond = statement.perSecond * this.#share.get(of, sharers);
    const { requests } = refill(statement.bucket, perSecond, use.nowMs);
    if (requests >= 1) return 0;
    return Math.ceil((1 - requests) / perSecond * 1000);
  }

  /** Records that this router sends a request. */
  recordSend(): void {
    this.#statement?.bucket.take({ requests: 1, tokens: 0 });
  }

  /** Gets the statement unless it is too old to be believed. */
  #getStatement(nowMs: number): Statement | undefined {
    const isBelieved = this.getAgeMs(nowMs) < maxStatementAgeMs;
    return isBelieved ? this.#statement : undefined;
  }
}

function refill(
  bucket: QuotaBucket,
  perSecond: number,
  nowMs: number,
): Quota {
  const burst = Math.max(1, perSecond * burstMs / 1000);
  return bucket.refill({
    rate: { requests: perSecond, tokens: 0 },
    burst: { requests: burst, tokens: 0 },
    nowMs,
  });
}

function describeChange(
  before: number | undefined,
  perSecond: number | undefined,
): LimitChange | undefined {
  if (perSecond === undefined) {
    return before === undefined
      ? undefined
      : { type: "ended", beforePerSecond: before };
  }
  if (before === undefined) return { type: "begun", perSecond };
  if (Math.abs(perSecond - before) <= before * slightShare) return undefined;
  return { type: "changed", perSecond, beforePerSecond: before };
}

/** Share of a limit up to which a change of it is slight. */
const slightShare = 0.1;

/** Time over which an unused share accumulates, if it exceeds a request. */
const burstMs = 500;

/**
 * Time after which a limit is forgotten that no answer has stated again, since
 * a router that sends no requests could not learn of its end.
 */
const maxStatementAgeMs = 60_000;
