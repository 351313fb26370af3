import { createHistogram } from "../histograms/mod.ts";

/** Options of a latency tracker. */
export type LatencyTrackerOptions = {
  /** Time after which a new histogram is started and the oldest is dropped. */
  windowMs?: number;
  /** Fewest durations from which a quantile is computed. */
  minimumSamples?: number;
};

const defaultWindowMs = 60_000;
const defaultMinimumSamples = 20;

/** Digits to which durations are kept. */
const significantDigits = 2;

/**
 * Quantiles of recent durations, from two rotating histograms: that of the
 * current window and that of the previous one. The one with more durations is
 * used.
 */
export class LatencyTracker {
  readonly #windowMs: number;
  readonly #minimumSamples: number;
  #current = createHistogram(significantDigits);
  #previous = createHistogram(significantDigits);
  #windowStartMs = 0;

  private constructor(options: LatencyTrackerOptions) {
    this.#windowMs = options.windowMs ?? defaultWindowMs;
    this.#minimumSamples = options.minimumSamples ?? defaultMinimumSamples;
  }

  /** Creates a tracker without durations. */
  static create(options: LatencyTrackerOptions = {}): LatencyTracker {
    return new LatencyTracker(options);
  }

  /** Records a duration in milliseconds. */
  record(durationMs: number, nowMs: number): void {
    this.#updateWindow(nowMs);
    this.#current.recordValue(Math.max(0, Math.round(durationMs)));
  }

  /** Gets a quantile, from 0 to 1; undefined with too few durations. */
  getQuantileMs(quantile: number, nowMs: number): number | undefined {
    this.#updateWindow(nowMs);
    const histogram = this.#previous.totalCount > this.#current.totalCount
      ? this.#previous
      : this.#current;
    if (histogram.totalCount < this.#minimumSamples) return undefined;
    return histogram.getValueAtPercentile(quantile * 100);
  }

  #updateWindow(nowMs: number): void {
    const ageMs = nowMs - this.#windowStartMs;
    if (ageMs < this.#windowMs) return;
    this.#windowStartMs = nowMs;
    this.#previous = ageMs < 2 * this.#windowMs
      ? this.#current
      : createHistogram(significantDigits);
    this.#current = createHistogram(significantDigits);
  }
}
