import type { Settings } from "../configuration/mod.ts";
import { assertInvariant } from "../results/mod.ts";
import { MinuteMeter, minuteMs } from "./minute_meter.ts";

/** A deferrable request that is held back. */
export type HeldRequest = {
  id: string;
  /** Expected number of tokens to compute. */
  costTokens: number;
  arrivedAtMs: number;
  deadlineAtMs: number;
  /** Expected duration once released. */
  durationMs: number;
};

/** Options of a peak hold. */
export type PeakHoldOptions = {
  getSettings: () => Settings["peak"];
  meter: MinuteMeter;
};

/** Largest share of the time to its deadline for which a request is held. */
const holdRatio = 0.5;

/** A hold ends with at least this multiple of the expected duration left. */
const durationFactor = 4;

/**
 * Multiple of the current regular rate that is reserved for the rest of the
 * minute.
 */
const burstFactor = 2;

/** Least elapsed share of a minute that its rate is computed with. */
const minimumElapsed = 0.1;

/** Share of a hold at which release is planned; the rest absorbs bursts. */
const targetRatio = 0.5;

type HeldRow = HeldRequest & {
  targetReleaseMs: number;
  latestReleaseMs: number;
};

/**
 * Holds deferrable requests back to keep the busiest minute low. Requests are
 * released while the current minute stays below the peak of past minutes, or
 * below the lowest level at which all of them are still released in time. Each
 * is released at the latest when its hold ends.
 */
export class PeakHold {
  readonly meter: MinuteMeter;
  readonly #options: PeakHoldOptions;
  /** Sorted by the latest release time, earliest first. */
  #held: HeldRow[] = [];

  private constructor(options: PeakHoldOptions) {
    this.#options = options;
    this.meter = options.meter;
  }

  /** Creates an empty hold. */
  static create(options: PeakHoldOptions): PeakHold {
    return new PeakHold(options);
  }

  /** Number of held requests. */
  get size(): number {
    return this.#held.length;
  }

  /** Holds a request until `release` returns it. */
  add(request: HeldRequest): void {
    const { arrivedAtMs } = request;
    const latestReleaseMs = this.#getLatestRelease(request);
    const targetReleaseMs = arrivedAtMs +
      targetRatio * (latestReleaseMs - arrivedAtMs);
    this.#held.push({ ...request, targetReleaseMs, latestReleaseMs });
    this.#held.sort((left, right) =>
      left.latestReleaseMs - right.latestReleaseMs
    );
  }

  /**
   * Removes a request whose caller no longer waits.
   *
   * @returns whether it was held.
   */
  remove(id: string): boolean {
    const size = this.#held.length;
    this.#held = this.#held.filter((row) => row.id !== id);
    return this.#held.length < size;
  }

  /** Removes and returns the requests to run now, and counts their tokens. */
  release(nowMs: number): HeldRequest[] {
    const { holdBack } = this.#options.getSettings();
    let allowanceTokens = this.#getAllowance(nowMs);
    const released = this.#held.filter((row) => {
      const fits = row.costTokens <= allowanceTokens;
      if (holdBack && !fits && row.latestReleaseMs > nowMs) return false;
      allowanceTokens -= row.costTokens;
      return true;
    });
    this.#held = this.#held.filter((row) => !released.includes(row));
    for (const { costTokens, deadlineAtMs, id } of released) {
      this.meter.record(costTokens, { atMs: nowMs, isDeferrable: true });
      assertInvariant(
        nowMs <= deadlineAtMs,
        "held-past-deadline",
        () => `request ${id} held ${nowMs - deadlineAtMs} ms past its deadline`,
      );
    }
    return released;
  }

  /** Gets when `release` is due at the latest; undefined if none is held. */
  getNextDueMs(): number | undefined {
    return this.#held[0]?.latestReleaseMs;
  }

  /** Gets the time at which the hold of a request ends. */
  #getLatestRelease(request: HeldRequest): number {
    const { arrivedAtMs, deadlineAtMs, durationMs } = request;
    const { holdBack, maximumHoldMs } = this.#options.getSettings();
    if (!holdBack) return arrivedAtMs;
    const holdMs = Math.min(
      maximumHoldMs,
      (deadlineAtMs - arrivedAtMs) * holdRatio,
      deadlineAtMs - arrivedAtMs - durationFactor * durationMs,
    );
    return arrivedAtMs + Math.max(0, holdMs);
  }

  /** Gets the tokens that may be released in the rest of this minute. */
  #getAllowance(nowMs: number): number {
    const { tokens, deferrable } = this.meter.getCurrent(nowMs);
    const elapsed = (nowMs % minuteMs) / minuteMs;
    const regular = tokens - deferrable;
    const rate = Math.max(
      this.meter.recentRegularTokens ?? 0,
      regular / Math.max(elapsed, minimumElapsed),
    );
    const expected = regular + burstFactor * rate * (1 - elapsed);
    const level = Math.max(
      this.meter.getPeakTokens(nowMs),
      this.#getRequiredLevel(nowMs),
    );
    return level - expected - deferrable;
  }

  /**
   * Gets the lowest number of tokens per minute at which all held requests are
   * released in time, assuming that regular work stays at its mean. This is the
   * rate of the Optimal Available algorithm (Yao, Demers and Shenker, 1995).
   */
  #getRequiredLevel(nowMs: number): number {
    let workTokens = 0;
    let highest = 0;
    for (const { costTokens, targetReleaseMs } of this.#held) {
      workTokens += costTokens;
      const minutes = Math.max(1, (targetReleaseMs - nowMs) / minuteMs);
      highest = Math.max(highest, workTokens / minutes);
    }
    return highest + this.meter.meanRegularTokens;
  }
}
