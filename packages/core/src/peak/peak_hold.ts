import type { Settings } from "../configuration/mod.ts";
import { assertInvariant } from "../results/mod.ts";
import { MinuteMeter, minuteMs } from "./minute_meter.ts";

/** A deferrable request that is held back. */
export type HeldRequest = {
  id: string;
  /** Tokens that it is expected to compute. */
  costTokens: number;
  arrivedAtMs: number;
  deadlineAtMs: number;
  /** Time that it is expected to take once released. */
  durationMs: number;
};

/** Settings and counts that holding back works with. */
export type PeakHoldOptions = {
  getSettings: () => Settings["peak"];
  meter: MinuteMeter;
};

/** Share of the time to a deadline that a request may be held for. */
const holdRatio = 0.5;

/** Times the expected duration that is left when a hold ends. */
const durationFactor = 4;

/** Times the present rate that the rest of a minute is reserved for. */
const burstFactor = 2;

/** Least share of a minute from which its rate is judged. */
const shortestElapsed = 0.1;

/** Share of a hold after which release is aimed at; the rest is for bursts. */
const targetRatio = 0.5;

type HeldRow = HeldRequest & {
  targetReleaseMs: number;
  latestReleaseMs: number;
};

/**
 * Holds deferrable requests back so that the busiest minute stays low. They
 * are released while the minute stays under the running peak, or under the
 * lowest level that still releases all of them in time, and each at the latest
 * when its hold ends.
 */
export class PeakHold {
  readonly meter: MinuteMeter;
  readonly #options: PeakHoldOptions;
  /** By the end of the hold, earliest first. */
  #held: HeldRow[] = [];

  private constructor(options: PeakHoldOptions) {
    this.#options = options;
    this.meter = options.meter;
  }

  /** Creates a hold with nothing in it. */
  static create(options: PeakHoldOptions): PeakHold {
    return new PeakHold(options);
  }

  /** Requests held. */
  get size(): number {
    return this.#held.length;
  }

  /** Holds a request until `release` names it. */
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

  /** Takes out a request that nobody waits for; says whether it was held. */
  remove(id: string): boolean {
    const size = this.#held.length;
    this.#held = this.#held.filter((row) => row.id !== id);
    return this.#held.length < size;
  }

  /** Takes the requests that are to run now, and counts their tokens. */
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
        () => `request ${id} held for ${nowMs - deadlineAtMs} ms too long`,
      );
    }
    return released;
  }

  /** Time by which `release` has to be called again, if any is held. */
  getNextDueMs(): number | undefined {
    return this.#held[0]?.latestReleaseMs;
  }

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

  /** Tokens that may be released in what is left of this minute. */
  #getAllowance(nowMs: number): number {
    const { tokens, deferrable } = this.meter.getCurrent(nowMs);
    const elapsed = (nowMs % minuteMs) / minuteMs;
    const regular = tokens - deferrable;
    const rate = Math.max(
      this.meter.recentTokens ?? 0,
      regular / Math.max(elapsed, shortestElapsed),
    );
    const expected = regular + burstFactor * rate * (1 - elapsed);
    const level = Math.max(
      this.meter.getPeakTokens(nowMs),
      this.#getNeededLevel(nowMs),
    );
    return level - expected - deferrable;
  }

  /**
   * Gets the lowest tokens by minute at which all that is held is released in
   * time, if other work stays at its mean (the rate of the Optimal Available
   * algorithm of Yao, Demers and Shenker, 1995).
   */
  #getNeededLevel(nowMs: number): number {
    let workTokens = 0;
    let highest = 0;
    for (const { costTokens, targetReleaseMs } of this.#held) {
      workTokens += costTokens;
      const minutes = Math.max(1, (targetReleaseMs - nowMs) / minuteMs);
      highest = Math.max(highest, workTokens / minutes);
    }
    return highest + this.meter.meanTokens;
  }
}
