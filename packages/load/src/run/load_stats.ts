import { build, type Histogram } from "hdr-histogram-js";
import type { Outcome } from "../history/mod.ts";

/** Latency in milliseconds from the intended start of a request. */
export type LatencySummary = {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  p999: number;
  max: number;
};

/** Statistics of one mix. */
export type MixSummary = {
  name: string;
  sent: number;
  answered: number;
  notRun: number;
  /** Requests neither answered nor reported as not run. */
  unknown: number;
  /** Until the complete answer, for answered requests only. */
  latencyMs: LatencySummary;
  /** Until the first bytes of the answer, for answered requests only. */
  firstByteMs: LatencySummary;
  /** Latency at selected quantiles. */
  distribution: { quantile: number; latencyMs: number }[];
  failures: { [code: string]: number };
};

type MixStats = {
  sent: number;
  answered: number;
  notRun: number;
  unknown: number;
  latency: Histogram;
  firstByte: Histogram;
  failures: Map<string, number>;
};

/** A completed or aborted request. */
export type FinishedRequest = {
  mix: string;
  outcome: Outcome;
  intendedAtMs: number;
  firstByteAtMs: number | undefined;
  completedAtMs: number;
  /** Whether the end of the run aborted the request. */
  isAborted?: boolean;
};

const microsecondsPerMs = 1000;
const quantiles = [0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1];

/** Collects the statistics of a run by mix. */
export class LoadStats {
  readonly #mixes = new Map<string, MixStats>();

  private constructor(mixes: readonly string[]) {
    for (const name of mixes) this.#mixes.set(name, createMixStats());
  }

  /** Creates empty statistics for the named mixes. */
  static create(mixes: readonly string[]): LoadStats {
    return new LoadStats(mixes);
  }

  /** Counts a request that is about to be sent. */
  countSent(mix: string): void {
    this.#get(mix).sent += 1;
  }

  /** Records the outcome of a request. */
  record(request: FinishedRequest): void {
    const stats = this.#get(request.mix);
    const { outcome, intendedAtMs, firstByteAtMs, completedAtMs } = request;
    if (outcome.type === "answered") {
      stats.answered += 1;
      recordMs(stats.latency, completedAtMs - intendedAtMs);
      recordMs(
        stats.firstByte,
        (firstByteAtMs ?? completedAtMs) - intendedAtMs,
      );
      return;
    }
    const name = formatFailure(request);
    stats.failures.set(name, (stats.failures.get(name) ?? 0) + 1);
    const isNotRun = outcome.type === "failed" && outcome.executed === "no";
    if (isNotRun) stats.notRun += 1;
    else stats.unknown += 1;
  }

  /** Returns totals over all mixes. */
  getTotals(): { sent: number; answered: number; failed: number } {
    const totals = { sent: 0, answered: 0, failed: 0 };
    for (const stats of this.#mixes.values()) {
      totals.sent += stats.sent;
      totals.answered += stats.answered;
      totals.failed += stats.notRun + stats.unknown;
    }
    return totals;
  }

  /** Summarizes each mix. */
  summarize(): MixSummary[] {
    return [...this.#mixes].map(([name, stats]) => ({
      name,
      sent: stats.sent,
      answered: stats.answered,
      notRun: stats.notRun,
      unknown: stats.unknown,
      latencyMs: summarizeLatency(stats.latency),
      firstByteMs: summarizeLatency(stats.firstByte),
      distribution: quantiles.map((quantile) => ({
        quantile,
        latencyMs: getQuantileMs(stats.latency, quantile),
      })),
      failures: Object.fromEntries(stats.failures),
    }));
  }

  #get(mix: string): MixStats {
    let stats = this.#mixes.get(mix);
    if (stats === undefined) {
      stats = createMixStats();
      this.#mixes.set(mix, stats);
    }
    return stats;
  }
}

function formatFailure(request: FinishedRequest): string {
  if (request.isAborted === true) return "unfinished at the end of the run";
  const { outcome } = request;
  return outcome.type === "failed" ? String(outcome.code) : "lost";
}

function createMixStats(): MixStats {
  return {
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    latency: build({ numberOfSignificantValueDigits: 3 }),
    firstByte: build({ numberOfSignificantValueDigits: 3 }),
    failures: new Map(),
  };
}

function recordMs(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(
    Math.max(0, Math.round(durationMs * microsecondsPerMs)),
  );
}

function getQuantileMs(histogram: Histogram, quantile: number): number {
  if (histogram.totalCount === 0) return 0;
  return histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMs;
}

function summarizeLatency(histogram: Histogram): LatencySummary {
  const count = histogram.totalCount;
  return {
    count,
    mean: count === 0 ? 0 : histogram.mean / microsecondsPerMs,
    p50: getQuantileMs(histogram, 0.5),
    p90: getQuantileMs(histogram, 0.9),
    p99: getQuantileMs(histogram, 0.99),
    p999: getQuantileMs(histogram, 0.999),
    max: count === 0 ? 0 : histogram.maxValue / microsecondsPerMs,
  };
}
