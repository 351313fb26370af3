/** Data from which the retry delay of a refused caller is computed. */
export type RetryAfterOptions = {
  nowMs: number;
  /** Time left until the caller's deadline. */
  leftMs: number;
  /**
   * Longest delay after which the caller can still be answered within its goal;
   * undefined if it cannot.
   */
  returnWithinMs?: number;
  /** Random number from 0 to 1; spreads callers that were refused together. */
  random: number;
};

/**
 * Forecasts when a service has capacity for its refused callers, from the rates
 * at which this router's requests end and at which it refuses requests. Callers
 * that retry before capacity is free are refused again; those that retry late
 * leave it unused. While more requests are served than refused, one that is soon
 * sent again is probably served, and then within its goal.
 */
export class CapacityForecast {
  #completedAtMs: number[] = [];
  #refusedAtMs: number[] = [];

  private constructor() {}

  /** Creates a forecast without observations. */
  static create(): CapacityForecast {
    return new CapacityForecast();
  }

  /** Records that a request ended at its runner. */
  recordCompletion(nowMs: number): void {
    this.#completedAtMs.push(nowMs);
    this.#completedAtMs = selectRecent(this.#completedAtMs, nowMs);
  }

  /** Records a refusal and gets the delay before the caller should retry. */
  recordRefusal(options: RetryAfterOptions): number {
    const { leftMs, nowMs, random, returnWithinMs = 0 } = options;
    this.#refusedAtMs.push(nowMs);
    this.#refusedAtMs = selectRecent(this.#refusedAtMs, nowMs);
    const completions = selectRecent(this.#completedAtMs, nowMs).length;
    const refusals = this.#refusedAtMs.length;
    if (
      returnWithinMs > 0 && refusals <= Math.max(minCompletions, completions)
    ) {
      return returnWithinMs * (minReturnShare + returnShareSpread * random);
    }
    const expectedMs = windowMs * refusals /
      Math.max(minCompletions, completions);
    const spreadMs = expectedMs * (minSpread + random);
    const delayMs = Math.min(
      maxDelayMs,
      spreadMs,
      leftMs * maxShareOfTimeLeft,
    );
    return Math.max(minDelayMs, delayMs);
  }
}

/** Window for the rates; requests end many times within a second. */
const windowMs = 1000;

/**
 * Number of ended requests that is assumed when fewer were observed in the
 * window, for example after a start.
 */
const minCompletions = 4;

/** Shares of the longest delay within the goal: 0.2 to 0.8. */
const minReturnShare = 0.2;
const returnShareSpread = 0.6;

/** Lower end of the spread: 0.5 to 1.5 times the expected delay. */
const minSpread = 0.5;

/** Shortest delay that is given to a caller. */
const minDelayMs = 150;

/** Longest delay; present rates say little about later capacity. */
const maxDelayMs = 2000;

/**
 * Share of the time to its deadline that a caller waits at most, so that it can
 * still be served.
 */
const maxShareOfTimeLeft = 1 / 3;

function selectRecent(timesMs: number[], nowMs: number): number[] {
  const first = timesMs.findIndex((timeMs) => timeMs > nowMs - windowMs);
  if (first <= 0) return first === 0 ? timesMs : [];
  return timesMs.slice(first);
}
