import type { RequestKind } from "@jasminetide/core/routes";
import type { ResultName } from "@jasminetide/core/results";
import { Metrics, type MetricsSnapshot } from "@jasminetide/runtime/metrics";

/** One metric, or those of a family that differ by what stands in capitals. */
export type MetricDescription = {
  name: string;
  type: "counter" | "histogram";
  unit: "requests" | "attempts" | "outages" | "ms";
  meaning: string;
};

/** Every metric of a gateway. */
export const metricDescriptions: readonly MetricDescription[] = [
  {
    name: "requests",
    type: "counter",
    unit: "requests",
    meaning: "Requests of callers that were read",
  },
  {
    name: "answered-STATUS",
    type: "counter",
    unit: "requests",
    meaning: "Admitted requests by the status of their answer; 502: a runner " +
      "broke off; 503: no runner took it; 504: the time limit was reached",
  },
  {
    name: "refused-RESULT",
    type: "counter",
    unit: "requests",
    meaning: "Requests refused before any attempt, by result: unauthorized " +
      "and notFound climb after a change of keys or routes, noDeclaration " +
      "when the store was away at a start",
  },
  {
    name: "callers-left",
    type: "counter",
    unit: "requests",
    meaning: "Requests whose caller went away before its answer",
  },
  {
    name: "attempts-END",
    type: "counter",
    unit: "attempts",
    meaning: "Attempts at runners by their end: relayed and answered are " +
      "answers, notRun is a refusal for want of room, unsent and broken are " +
      "lost connections, cancelled follows a caller that left",
  },
  {
    name: "repeats",
    type: "counter",
    unit: "attempts",
    meaning: "Attempts after the first of a request; bounded by the budget",
  },
  {
    name: "repeats-refused",
    type: "counter",
    unit: "requests",
    meaning: "Requests given up since the budget of repeats was used up",
  },
  {
    name: "store-lost-KIND",
    type: "counter",
    unit: "outages",
    meaning: "Times that the store stopped to answer calls for a kind",
  },
  {
    name: "answer-ms-KIND",
    type: "histogram",
    unit: "ms",
    meaning: "Whole time of answers by kind of request",
  },
  {
    name: "first-byte-ms-KIND",
    type: "histogram",
    unit: "ms",
    meaning: "Time from a send to the first byte of its answer, by kind",
  },
];

/** Counts what a gateway does; the only place that names its metrics. */
export class GatewayMetrics {
  readonly #metrics = Metrics.create();

  private constructor() {}

  /** Creates metrics that have counted nothing. */
  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  countRequest(): void {
    this.#metrics.count("requests");
  }

  countAnswered(status: number): void {
    this.#metrics.count(`answered-${status}`);
  }

  countRefused(result: ResultName): void {
    this.#metrics.count(`refused-${result}`);
  }

  countLeft(): void {
    this.#metrics.count("callers-left");
  }

  /** @param end type of the attempt's end. */
  countAttempt(end: string): void {
    this.#metrics.count(`attempts-${end}`);
  }

  countRepeat(): void {
    this.#metrics.count("repeats");
  }

  countRefusedRepeat(): void {
    this.#metrics.count("repeats-refused");
  }

  /** @param kind kind of object that the calls are for. */
  countStoreLost(kind: string): void {
    this.#metrics.count(`store-lost-${kind}`);
  }

  recordAnswer(kind: RequestKind, durationMs: number): void {
    this.#metrics.record(`answer-ms-${kind}`, durationMs);
  }

  recordFirstByte(kind: RequestKind, durationMs: number): void {
    this.#metrics.record(`first-byte-ms-${kind}`, durationMs);
  }

  getSnapshot(): MetricsSnapshot {
    return this.#metrics.getSnapshot();
  }
}

/** Formats the page on metrics. */
export function formatMetricsPage(): string {
  const rows = metricDescriptions.map(({ meaning, name, type, unit }) =>
    `- \`${name}\`, ${type}, ${unit}: ${meaning}.`
  );
  return [
    "# Metrics of a gateway",
    "",
    "Served as text at `/metrics` of the peers' address, and in `/dump`.",
    "Names get the prefix `jasminetide_` there, underscores for hyphens, and",
    "counters the ending `_total`; histograms come as quantiles and `_count`.",
    "What stands in capitals is filled in.",
    "",
    ...rows,
    "",
  ].join("\n");
}
