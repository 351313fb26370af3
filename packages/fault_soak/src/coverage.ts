/** Counts how often faults, and pairs of them, were active in episodes. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import {
  type FaultKind,
  faultKinds,
  type PlannedFault,
} from "./fault_kinds.ts";

/** Faults of an episode. */
export type FaultSchedule = readonly PlannedFault[];

/** Episodes by fault, or by a pair of faults whose times overlap. */
export type Coverage = ReadonlyMap<string, number>;

/** Counts the episodes with each fault and with each pair of them. */
export function countCoverage(schedules: readonly FaultSchedule[]): Coverage {
  const counts = new Map<string, number>();
  for (const schedule of schedules) {
    const kinds = schedule.map(({ kind }) => formatKey(kind));
    for (const key of new Set([...kinds, ...listPairs(schedule)])) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return counts;
}

/** Formats how many episodes had each kind of fault, and how many pairs any. */
export function formatCoverage(coverage: Coverage): string {
  const counts = faultKinds.map((kind) =>
    `${kind} ${coverage.get(formatKey(kind)) ?? 0}`
  );
  const single = new Set<string>(faultKinds.map((kind) => formatKey(kind)));
  const pairs = [...coverage.keys()].filter((key) => !single.has(key));
  const possible = faultKinds.length * (faultKinds.length + 1) / 2;
  return `${counts.join(", ")}; ${pairs.length} of ${possible} pairs`;
}

/**
 * Adds a coverage to that in a file, which is created if absent: a table of
 * comma-separated values with a row for each fault and each pair.
 *
 * @throws {Error} if the file has a row of another form.
 */
export function addToCoverageFile(path: string, coverage: Coverage): void {
  const counts = existsSync(path)
    ? parseCoverage(readFileSync(path, "utf8"))
    : new Map<string, number>();
  for (const [key, count] of coverage) {
    counts.set(key, (counts.get(key) ?? 0) + count);
  }
  const rows = [...counts].map(([key, count]) => `${key},${count}`).sort();
  writeFileSync(path, `${[header, ...rows].join("\n")}\n`);
}

function parseCoverage(text: string): Map<string, number> {
  const rows = text.split("\n").filter((row) => row !== "" && row !== header);
  return new Map(rows.map((row) => {
    const [, key, count] = /^([a-z-]+,[a-z-]*),(\d+)$/.exec(row) ?? [];
    if (key === undefined) throw new Error(`Not a row of coverage: "${row}"`);
    return [key, Number(count)];
  }));
}

/** Lists the pairs of kinds whose planned times overlap. */
function listPairs(schedule: FaultSchedule): string[] {
  return schedule.flatMap((first, index) =>
    schedule.slice(index + 1)
      .filter(({ startMs }) => startMs < first.startMs + first.durationMs)
      .map(({ kind }) => formatKey(first.kind, kind))
  );
}

/** Formats the first columns of a row; the second is empty for one fault. */
function formatKey(...kinds: [FaultKind] | [FaultKind, FaultKind]): string {
  const [first, second = ""] = kinds.toSorted();
  return `${first},${second}`;
}

const header = "fault,with,episodes";
