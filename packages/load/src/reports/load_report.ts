import { resultCodes } from "@jasminetide/core/results";
import type { HistoryReport } from "../history/mod.ts";
import { formatHistoryReport } from "../history/mod.ts";
import type { MixSummary } from "../run/mod.ts";

/** Results of a run. */
export type LoadReport = {
  scenario: string;
  seed: number;
  durationMs: number;
  mixes: MixSummary[];
  history: HistoryReport;
};

const columns = [
  ["sent", 8],
  ["answered", 9],
  ["not run", 8],
  ["unknown", 8],
  ["p50 ms", 9],
  ["p90 ms", 9],
  ["p99 ms", 9],
  ["max ms", 9],
  ["first p99", 10],
] as const;

const nameWidth = 24;

/** Formats a report as text. */
export function formatLoadReport(report: LoadReport): string {
  const head = columns.map(([name, width]) => name.padStart(width)).join("");
  return [
    `Scenario ${report.scenario}, seed ${report.seed}, ` +
    `${(report.durationMs / 1000).toFixed(1)} s`,
    "Latency is measured from the intended start of each request",
    "",
    `${"mix".padEnd(nameWidth)}${head}`,
    ...report.mixes.flatMap(formatMix),
    "",
    formatHistoryReport(report.history),
  ].join("\n");
}

function formatMix(mix: MixSummary): string[] {
  const { latencyMs, firstByteMs } = mix;
  const cells = [
    String(mix.sent),
    String(mix.answered),
    String(mix.notRun),
    String(mix.unknown),
    latencyMs.p50.toFixed(1),
    latencyMs.p90.toFixed(1),
    latencyMs.p99.toFixed(1),
    latencyMs.max.toFixed(1),
    firstByteMs.p99.toFixed(1),
  ];
  const row = cells.map((cell, index) => cell.padStart(columns[index][1]));
  const failures = Object.entries(mix.failures).map(([code, count]) =>
    `  ${count} x ${code} ${getResultTitle(code)}`.trimEnd()
  );
  return [mix.name.padEnd(nameWidth) + row.join(""), ...failures];
}

function getResultTitle(code: string): string {
  const row = Object.values(resultCodes).find((entry) =>
    String(entry.code) === code
  );
  return row?.title ?? "";
}
