/** Counters and histograms of a process. */
import { createHistogram, type Histogram } from "@jasminetide/core/histograms";

/** Summary of a histogram, in the unit of the recorded values. */
export type HistogramSummary = {
  count: number;
  mean: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
};

/** Values of all metrics at one time. */
export type MetricsSnapshot = {
  counters: { [name: string]: number };
  histograms: { [name: string]: HistogramSummary };
};

/** Holds the metrics of a process by name. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();

  private constructor() {}

  /** Creates an empty set of metrics. */
  static create(): Metrics {
    return new Metrics();
  }

  /** Adds to a counter. */
  count(name: string, increment = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + increment);
  }

  /** Records a value, such as a duration in milliseconds. */
  record(name: string, value: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = createHistogram(2);
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(value)));
  }

  /** Gets the value at a quantile from 0 to 1, or undefined without data. */
  getQuantile(name: string, quantile: number): number | undefined {
    const histogram = this.#histograms.get(name);
    if (histogram === undefined || histogram.totalCount === 0) return undefined;
    return histogram.getValueAtPercentile(quantile * 100);
  }

  /** Gets the current values of all metrics. */
  getSnapshot(): MetricsSnapshot {
    const histograms: MetricsSnapshot["histograms"] = {};
    for (const [name, histogram] of this.#histograms) {
      histograms[name] = summarize(histogram);
    }
    return { counters: Object.fromEntries(this.#counters), histograms };
  }
}

function summarize(histogram: Histogram): HistogramSummary {
  return {
    count: histogram.totalCount,
    mean: histogram.mean,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
  };
}
