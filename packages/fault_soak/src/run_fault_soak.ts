/** Runs episodes for a given time and formats their reports. */
import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  type EpisodeOptions,
  type EpisodeReport,
  runEpisode,
} from "./run_episode.ts";

/** Options of a fault soak. */
export type FaultSoakOptions = Omit<EpisodeOptions, "seed"> & {
  /** Seed of the first episode; every later episode adds one. */
  firstSeed: number;
  /** Time after which no further episode begins. */
  minutes: number;
  onEpisode: (report: EpisodeReport) => void;
};

/** Runs episodes until the time is over, but at least one. */
export async function runFaultSoak(
  options: FaultSoakOptions,
): Promise<EpisodeReport[]> {
  const { firstSeed, minutes, onEpisode, ...common } = options;
  const endMs = Date.now() + minutes * 60_000;
  const reports: EpisodeReport[] = [];
  do {
    const seed = firstSeed + reports.length;
    const report = await runEpisode({ ...common, seed });
    keepIfFailed(report);
    reports.push(report);
    onEpisode(report);
  } while (Date.now() < endMs);
  return reports;
}

/**
 * Writes the report of a failed episode to the folder of its logs, or removes
 * the folder if the episode has no violations.
 */
function keepIfFailed(report: EpisodeReport): void {
  if (report.violations.length === 0) {
    rmSync(report.folder, { recursive: true });
    return;
  }
  const text = JSON.stringify(report, null, 2);
  writeFileSync(join(report.folder, "report.json"), text);
}

/** Formats an episode as one line, followed by a line for each violation. */
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
