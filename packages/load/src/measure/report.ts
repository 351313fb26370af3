import type { PolicyFigures } from "./collector.ts";

/** Figures of the whole run, keyed by policy. */
export type FiguresByPolicy = { [policy: string]: PolicyFigures };

type Column = { title: string; format: (figures: PolicyFigures) => string };

const columns: Column[] = [
  { title: "reuse", format: (row) => row.reuse.toFixed(4) },
  { title: "skew p99", format: (row) => row.skewP99.toFixed(3) },
  { title: "skew max", format: (row) => row.skewMax.toFixed(3) },
  { title: "over cap", format: (row) => String(row.capViolations) },
  {
    title: "busiest minute",
    format: (row) => String(row.busiestMinuteTokens),
  },
  {
    title: "control B/s",
    format: (row) => row.controlBytesPerSecondPerRouter.toFixed(0),
  },
  { title: "ttft p95 ms", format: (row) => String(row.ttftP95Ms) },
  {
    title: "others in surge ms",
    format: (row) => String(row.surgeOthersTtftP95Ms),
  },
  { title: "late", format: (row) => String(row.missedDeadlines) },
  { title: "unserved", format: (row) => String(row.unserved) },
  { title: "requests", format: (row) => String(row.requests) },
];

/** Formats figures as a table in Markdown. */
export function formatFigures(figures: FiguresByPolicy): string {
  const rows = [
    ["policy", ...columns.map((column) => column.title)],
    ["---", ...columns.map(() => "---:")],
    ...Object.entries(figures).map(([policy, row]) => [
      policy,
      ...columns.map((column) => column.format(row)),
    ]),
  ];
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    `| ${row.map((cell, at) => cell.padEnd(widths[at])).join(" | ")} |`
  ).join("\n");
}
