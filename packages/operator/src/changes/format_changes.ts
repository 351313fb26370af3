import { formatTable, formatValue, type Style } from "../output/mod.ts";
import { formatAffected, type RankedChange } from "./affected.ts";
import type { Change } from "./compare.ts";

const hashPrefixLength = 8;

/** Formats changes as a table. */
export function formatChanges(
  changes: readonly Change[],
  style: Style,
): string {
  if (changes.length === 0) return "No differences";
  return formatTable(changes.map((change) => formatRow(change, style)), {
    head,
    style,
  });
}

/** Formats changes as a table that says how many entries each affects. */
export function formatRankedChanges(
  changes: readonly RankedChange[],
  style: Style,
): string {
  if (changes.length === 0) return "No differences";
  const rows = changes.map((change) => [
    ...formatRow(change, style),
    formatAffected(change.affected),
  ]);
  return formatTable(rows, { head: [...head, "affects"], style });
}

const head = ["", "path", "before", "after", "reason"];

function formatRow(change: Change, style: Style): string[] {
  return [
    formatSign(change, style),
    change.path,
    formatSide(change.before),
    formatSide(change.after),
    change.reason ?? "",
  ];
}

/** Shortens key hashes for display; readers have no use for the full hash. */
export function formatHashes(value: unknown): unknown {
  if (typeof value === "string" && /^[0-9a-f]{64}$/.test(value)) {
    return `${value.slice(0, hashPrefixLength)}...`;
  }
  if (Array.isArray(value)) return value.map(formatHashes);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [name, formatHashes(field)]),
  );
}

function formatSign(change: Change, style: Style): string {
  switch (change.type) {
    case "added":
      return style.green("+");
    case "removed":
      return style.red("-");
    case "changed":
      return style.yellow("~");
  }
}

function formatSide(value: unknown): string {
  return formatValue(formatHashes(value));
}
