import type { Settings } from "../configuration/mod.ts";

/** Settings that the limit reads. */
export type ConcurrencySettings = Settings["admission"];

const windowMs = 1000;
const minimumSamples = 20;
const minimumLimit = 4;
/** Largest cut in one window. */
const largestCut = 0.5;
const quantile = 0.95;

/** Samples of one window. */
type Window = {
  startMs: number;
  firstTokenMs: number[];
  betweenTokensMs: number[];
  highestRunning: number;
};

/**
 * Adapts the number of requests that run at once to what the runner shows:
 * one more after a window in which the limit was reached and both targets
 * held, and a cut in proportion to the excess after a window in which one did
 * not (additive increase, multiplicative decrease).
 */
export class ConcurrencyLimit {
  readonly #getSettings: () => ConcurrencySettings;
  #limit: number;
  #window = createWindow(0);

  private constructor(getSettings: () => ConcurrencySettings) {
    this.#getSettings = getSettings;
    this.#limit = getSettings().maximumConcurrency;
  }

  /** Creates a limit that begins at the configured maximum. */
  static create(getSettings: () => ConcurrencySettings): ConcurrencyLimit {
    return new ConcurrencyLimit(getSettings);
  }

  /** Requests that may run at once. */
  get limit(): number {
    const { maximumConcurrency } = this.#getSettings();
    return Math.max(1, Math.min(Math.floor(this.#limit), maximumConcurrency));
  }

  /** Records the time from the start of a task to its first token. */
  observeFirstToken(durationMs: number, running: number): void {
    this.#window.firstTokenMs.push(durationMs);
    this.#observeRunning(running);
  }

  /** Records the time between two tokens. */
  observeBetweenTokens(durationMs: number): void {
    this.#window.betweenTokensMs.push(durationMs);
  }

  /** Closes the window once it is over; says whether the limit changed. */
  update(nowMs: number): boolean {
    const { startMs, firstTokenMs, betweenTokensMs } = this.#window;
    if (nowMs - startMs < windowMs) return false;
    const samples = Math.max(firstTokenMs.length, betweenTokensMs.length);
    if (samples < minimumSamples) return false;
    const before = this.limit;
    this.#limit = this.#getNext(this.#window);
    this.#window = createWindow(nowMs);
    return this.limit !== before;
  }

  #getNext(window: Window): number {
    const { targetFirstTokenMs, targetBetweenTokensMs } = this.#getSettings();
    const ratio = Math.min(
      targetFirstTokenMs / getQuantile(window.firstTokenMs),
      targetBetweenTokensMs / getQuantile(window.betweenTokensMs),
    );
    if (ratio < 1) {
      const cut = this.limit * Math.max(largestCut, ratio);
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
