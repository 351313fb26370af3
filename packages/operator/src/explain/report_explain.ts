import { exitCodes } from "@jasminetide/runtime/process";
import {
  type CommandResult,
  formatTable,
  formatValue,
  type Style,
} from "../output/mod.ts";
import type { ExplainedValue, Explanation } from "./explain_subject.ts";

/** Reports effective values; those set by exceptions come first. */
export function reportExplanation(explanation: Explanation): CommandResult {
  return {
    exitCode: exitCodes.ok,
    document: explanation,
    formatText: (style) => formatExplanation(explanation, style),
  };
}

function formatExplanation(explanation: Explanation, style: Style): string {
  const { subject, version, values, narrower } = explanation;
  const source = version === undefined
    ? "as declared in the file"
    : `by version ${version}`;
  const rows = [...values].sort(compareOrigins).map((entry) =>
    formatRow(entry, style)
  );
  const notes = narrower.map((entry) =>
    `exceptions[${entry.index}] applies where ${formatMatch(entry.match)}: ` +
    `${formatValue(entry.set)} (${entry.reason})`
  );
  return [
    `${subject.kind} ${style.bold(subject.name)}, ${source}`,
    "",
    formatTable(rows, {
      head: ["setting", "value", "default", "origin", "reason"],
      style,
    }),
    ...(notes.length === 0
      ? []
      : ["", "Exceptions with further conditions:", ...notes]),
  ].join("\n");
}

function compareOrigins(left: ExplainedValue, right: ExplainedValue): number {
  return getOriginOrder(left) - getOriginOrder(right);
}

function getOriginOrder({ origin }: ExplainedValue): number {
  return origin.type === "exception" ? 0 : 1;
}

function formatRow(entry: ExplainedValue, style: Style): string[] {
  const { origin, path, value } = entry;
  if (origin.type === "default") {
    return [path, formatValue(value), "", "defaults", ""];
  }
  return [
    path,
    style.yellow(formatValue(value)),
    formatValue(entry.defaultValue),
    `exceptions[${origin.index}]`,
    origin.reason,
  ];
}

function formatMatch(match: object): string {
  return Object.entries(match).map(([field, value]) => `${field}=${value}`)
    .join(", ");
}
