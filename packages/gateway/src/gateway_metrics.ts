import type { RequestKind } from "@jasminetide/core/routes";
import type { ResultName } from "@jasminetide/core/results";
import { Metrics, type MetricsSnapshot } from "@jasminetide/runtime/metrics";

/** A metric, or a family of metrics whose names differ in the upper-case word. */
export type MetricDescription = {
  name: string;
  type: "counter" | "histogram";
  unit:
    | "datagrams"
    | "reports"
    | "requests"
    | "attempts"
    | "outages"
    | "crashes"
    | "parts"
    | "connections"
    | "ms";
  meaning: string;
};

/** Descriptions of all metrics of a gateway. */
export const metricDescriptions: readonly MetricDescription[] = [
  {
    name: "requests",
    type: "counter",
    unit: "requests",
    meaning: "Requests read from callers",
  },
  {
    name: "answered-STATUS",
    type: "counter",
    unit: "requests",
    meaning: "Admitted requests by the status of their answer; 502: a runner " +
      "failed to complete its answer; 503: no runner accepted the request; " +
      "504: the time limit was reached",
  },
  {
    name: "refused-RESULT",
    type: "counter",
    unit: "requests",
    meaning: "Requests refused before any attempt, by result: unauthorized " +
      "and notFound rise after a change of keys or routes, noDeclaration " +
      "if the store was unavailable when the gateway started",
  },
  {
    name: "callers-left",
    type: "counter",
    unit: "requests",
    meaning: "Requests whose caller disconnected before the end of the answer",
  },
  {
    name: "connections-closed-REASON",
    type: "counter",
    unit: "connections",
    meaning: "Connections closed by a limit on callers; displaced: they " +
      "waited for their caller and gave way to new ones; refused: new ones " +
      "while all others were served; memory: they held most of the memory " +
      "for callers; unread: their answer was not read in time",
  },
  {
    name: "attempts-END",
    type: "counter",
    unit: "attempts",
    meaning: "Attempts at runners by outcome: relayed and answered are " +
      "answers, notRun is a refusal for lack of capacity, unsent and broken " +
      "are lost connections, withdrawn were not sent, since the runner may " +
      "get none any more, cancelled means that the caller disconnected",
  },
  {
    name: "repeats",
    type: "counter",
    unit: "attempts",
    meaning:
      "Attempts after the first of a request; limited by the retry budget",
  },
  {
    name: "repeats-refused",
    type: "counter",
    unit: "requests",
    meaning: "Requests not retried because the retry budget was used up",
  },
  {
    name: "hedges",
    type: "counter",
    unit: "attempts",
    meaning: "Second attempts at lookups that were late; each is a repeat too",
  },
  {
    name: "hedges-won",
    type: "counter",
    unit: "attempts",
    meaning: "Hedges that were answered before the first attempt",
  },
  {
    name: "hedges-refused",
    type: "counter",
    unit: "requests",
    meaning:
      "Late lookups that got no second attempt: no budget, no room at the " +
      "service, or no other runner",
  },
  {
    name: "kept-from-cold",
    type: "counter",
    unit: "attempts",
    meaning:
      "Times that a cold runner got no attempt, since this gateway's share " +
      "of its limit was used up",
  },
  {
    name: "kept-from-queues",
    type: "counter",
    unit: "attempts",
    meaning:
      "Attempts at plain services that were not sent, since each runner's " +
      "queue was too long for the goal of their route",
  },
  {
    name: "load-reports",
    type: "counter",
    unit: "reports",
    meaning: "Loads of runners that other gateways have told this one",
  },
  {
    name: "datagrams-malformed",
    type: "counter",
    unit: "datagrams",
    meaning: "Datagrams of other gateways that could not be read",
  },
  {
    name: "store-lost-KIND",
    type: "counter",
    unit: "outages",
    meaning:
      "Times that the store stopped answering calls for a kind of object",
  },
  {
    name: "runner-crashes",
    type: "counter",
    unit: "crashes",
    meaning: "Crashes of runners under requests that they ran, by request",
  },
  {
    name: "prompts-quarantined",
    type: "counter",
    unit: "parts",
    meaning: "Prompt parts quarantined because they crash runners",
  },
  {
    name: "requests-quarantined",
    type: "counter",
    unit: "requests",
    meaning: "Requests quarantined because they crash runners that run them",
  },
  {
    name: "quarantine-refused",
    type: "counter",
    unit: "requests",
    meaning:
      "Requests refused, or not repeated, since they or a part of their " +
      "prompt are quarantined",
  },
  {
    name: "answer-ms-KIND",
    type: "histogram",
    unit: "ms",
    meaning: "Time from a request to the end of its answer, by kind of request",
  },
  {
    name: "first-byte-ms-KIND",
    type: "histogram",
    unit: "ms",
    meaning:
      "Time from sending a request to the first byte of its answer, by " +
      "kind of request",
  },
];

/** Records the metrics of a gateway; the only place that names them. */
export class GatewayMetrics {
  readonly #metrics = Metrics.create();

  private constructor() {}

  /** Creates metrics without counts. */
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

  countDisconnectedCaller(): void {
    this.#metrics.count("callers-left");
  }

  /** @param reason limit by which the connection was closed. */
  countClosedConnection(reason: string): void {
    this.#metrics.count(`connections-closed-${reason}`);
  }

  /** @param end outcome of the attempt. */
  countAttempt(end: string): void {
    this.#metrics.count(`attempts-${end}`);
  }

  countRetry(): void {
    this.#metrics.count("repeats");
  }

  countRefusedRetry(): void {
    this.#metrics.count("repeats-refused");
  }

  countKeptFromQueues(): void {
    this.#metrics.count("kept-from-queues");
  }

  countLoadReports(count: number): void {
    this.#metrics.count("load-reports", count);
  }

  countMalformedDatagram(): void {
    this.#metrics.count("datagrams-malformed");
  }

  countHedge(): void {
    this.#metrics.count("hedges");
  }

  countHedgeWon(): void {
    this.#metrics.count("hedges-won");
  }

  countRefusedHedge(): void {
    this.#metrics.count("hedges-refused");
  }

  countKeptFromCold(): void {
    this.#metrics.count("kept-from-cold");
  }

  /** @param kind kind of object that the failed calls were for. */
  countStoreLost(kind: string): void {
    this.#metrics.count(`store-lost-${kind}`);
  }

  countRunnerCrash(): void {
    this.#metrics.count("runner-crashes");
  }

  countQuarantined(subject: "prompt" | "request"): void {
    this.#metrics.count(`${subject}s-quarantined`);
  }

  countQuarantineRefusal(): void {
    this.#metrics.count("quarantine-refused");
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

/** Formats the documentation page on metrics. */
export function formatMetricsPage(): string {
  const rows = metricDescriptions.map(({ meaning, name, type, unit }) =>
    `- \`${name}\`, ${type}, ${unit}: ${meaning}.`
  );
  return [
    "# Metrics of a gateway",
    "",
    "Served as text at `/metrics` of the peers' address, and in `/dump`.",
    "At `/metrics`, names have the prefix `jasminetide_` and underscores for",
    "hyphens, and counters end in `_total`; histograms are written as quantiles",
    "and `_count`. Upper-case words are placeholders.",
    "",
    ...rows,
    "",
  ].join("\n");
}
