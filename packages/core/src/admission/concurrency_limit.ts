import type { Settings } from "../configuration/mod.ts";

/** Settings of the concurrency limit: its maximum and the latency targets. */
export type ConcurrencySettings = Settings["admission"];

/** Shortest duration of a window. */
const windowMs = 1000;

/** Fewest samples with which a window is closed. */
const minimumSamples = 20;

/** A decrease does not take the limit below this. */
const minimumLimit = 4;

/** Smallest factor by which one window may reduce the limit. */
const minimumDecreaseFactor = 0.5;

/** Quantile of the latencies that is compared with the targets. */
const quantile = 0.95;

/** Latency samples of one window and its highest number of running requests. */
type Window = {
  startMs: number;
  firstTokenMs: number[];
  betweenTokensMs: number[];
  highestRunning: number;
};

/**
 * Adapts the number of requests that run at once to the runner's latencies by
 * additive increase, multiplicative decrease. The limit rises by 1 after a
 * window in which it was reached and both targets (time to first token, time
 * between tokens) were met. It is cut in proportion to the excess after a
 * window in which a target was missed.
 */
export class ConcurrencyLimit {
  readonly #getSettings: () => ConcurrencySettings;
  #limit: number;
  #window = createWindow(0);

  private constructor(getSettings: () => ConcurrencySettings) {
    this.#getSettings = getSettings;
    this.#limit = getSettings().maximumConcurrency;
  }

  /** Creates a limit that starts at the configured maximum. */
  static create(getSettings: () => ConcurrencySettings): ConcurrencyLimit {
    return new ConcurrencyLimit(getSettings);
  }

  /** Number of requests that may run at once. */
  get limit(): number {
    const { maximumConcurrency } = this.#getSettings();
    return Math.max(1, Math.min(Math.floor(this.#limit), maximumConcurrency));
  }

  /**
   * Records the time from the start of a task to its first token, and the
   * number of requests running at that moment.
   */
  observeFirstToken(durationMs: number, running: number): void {
    this.#window.firstTokenMs.push(durationMs);
    this.#observeRunning(running);
  }

  /** Records the time between two tokens. */
  observeBetweenTokens(durationMs: number): void {
    this.#window.betweenTokensMs.push(durationMs);
  }

  /**
   * Closes the window if it has lasted long enough and has enough samples.
   *
   * @returns whether the limit changed.
   */
  update(nowMs: number): boolean {
    const { startMs, firstTokenMs, betweenTokensMs } = this.#window;
    if (nowMs - startMs < windowMs) return false;
    const samples = Math.max(firstTokenMs.length, betweenTokensMs.length);
    if (samples < minimumSamples) return false;
    const before = this.limit;
    this.#limit = this.#getNextLimit(this.#window);
    this.#window = createWindow(nowMs);
    return this.limit !== before;
  }

  #getNextLimit(window: Window): number {
    const { targetFirstTokenMs, targetBetweenTokensMs } = this.#getSettings();
    const ratio = Math.min(
      targetFirstTokenMs / getQuantile(window.firstTokenMs),
      targetBetweenTokensMs / getQuantile(window.betweenTokensMs),
    );
    if (ratio < 1) {
      const cut = this.limit * Math.max(minimumDecreaseFactor, ratio);
      return Math.max(minimumLimit, Math.floor(cut));
    }
    const isReached = window.highestRunning >= this.limit;
    return isReached ? this.limit + 1 : this.limit;
  }

  #observeRunning(running: number): void {
    const { highestRunning } = this.#window;
    this.#window.highestRunning = Math.max(highestRunning, running);
  }
}

function createWindow(startMs: number): Window {
  return {
    startMs,
    firstTokenMs: [],
    betweenTokensMs: [],
    highestRunning: 0,
  };
}

function getQuantile(samples: number[]): number {
  if (samples.length === 0) return 0;
  const sorted = samples.toSorted((left, right) => left - right);
  return sorted[Math.floor(quantile * (sorted.length - 1))];
}
