import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type FaultKind, faultKinds, type PlannedFault } from "./faults.ts";
import {
  type EpisodeOptions,
  type EpisodeReport,
  runEpisode,
} from "./run_episode.ts";

/** How long a soak goes on. */
export type FaultSoakOptions = Omit<EpisodeOptions, "seed"> & {
  /** Seed of the first episode; each next one has the next seed. */
  firstSeed: number;
  minutes: number;
  onEpisode: (report: EpisodeReport) => void;
};

/** Runs episodes until the time is over, one at least. */
export async function runFaultSoak(
  options: FaultSoakOptions,
): Promise<EpisodeReport[]> {
  const { firstSeed, minutes, onEpisode, ...common } = options;
  const endMs = Date.now() + minutes * 60_000;
  const reports: EpisodeReport[] = [];
  do {
    const seed = firstSeed + reports.length;
    const report = await runEpisode({ ...common, seed });
    keepFailure(report);
    reports.push(report);
    onEpisode(report);
  } while (Date.now() < endMs);
  return reports;
}

/** Keeps the report beside the logs of a failure; drops those of others. */
function keepFailure(report: EpisodeReport): void {
  if (report.violations.length === 0) {
    rmSync(report.folder, { recursive: true });
    return;
  }
  const text = JSON.stringify(report, null, 2);
  writeFileSync(join(report.folder, "report.json"), text);
}

/** Formats one episode as a line, and its violations below. */
export function formatEpisode(report: EpisodeReport): string {
  const { calls, faults, seed, servedShare, violations } = report;
  const served = `${(servedShare * 100).toFixed(1)} % of ${calls} calls served`;
  const kinds = faults.map(({ kind }) => kind).join(" ");
  const lines = violations.map(({ check, detail }) => `  ${check}: ${detail}`);
  return [
    `seed ${seed}: ${violations.length} violations, ${served}; ${kinds}`,
    ...lines,
  ].join("\n");
}

/** Formats how often each kind and pair of faults was active. */
export function formatCoverage(reports: readonly EpisodeReport[]): string {
  const schedules = reports.map(({ faults }) => faults);
  const counts = faultKinds.map((kind) => {
    const all = schedules.flat().filter((fault) => fault.kind === kind);
    return `${kind} ${all.length}`;
  });
  const pairs = new Set(schedules.flatMap(listPairs));
  const possible = faultKinds.length * (faultKinds.length + 1) / 2;
  return `${counts.join(", ")}; ${pairs.size} of ${possible} pairs`;
}

/** Lists the pairs of kinds that overlapped or followed within a second. */
function listPairs(faults: readonly PlannedFault[]): string[] {
  return faults.flatMap((first, index) =>
    faults.slice(index + 1)
      .filter(({ startMs }) => startMs < first.startMs + first.durationMs)
      .map(({ kind }) => formatPair(first.kind, kind))
  );
}

function formatPair(first: FaultKind, second: FaultKind): string {
  return [first, second].sort().join(" + ");
}
