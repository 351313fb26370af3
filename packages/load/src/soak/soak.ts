/** Runs of many episodes, and the report of such a run. */
import { mix32 } from "@jasminetide/core/hashing";
import fc from "fast-check";
import {
  type EpisodeOptions,
  type EpisodeReport,
  runEpisode,
} from "./episode.ts";
import {
  drawFaults,
  type Fault,
  FaultCoverage,
  selectFaultGroups,
} from "./faults.ts";

/** Seed and length of a run. */
export type SoakOptions = {
  seed: number;
  /** Episodes of one virtual minute each. */
  minutes: number;
  /** Number of the first episode, to replay a single one; 0 by default. */
  firstEpisode?: number;
  /** Replaces the routers' retry rule, to inject a violation. */
  mayRetry?: EpisodeOptions["mayRetry"];
};

/** A failed episode, shrunk to the fewest faults that still cause it to fail. */
export type SoakFailure = {
  episode: number;
  faults: Fault[];
  violations: string[];
};

/** Results of a run. */
export type SoakReport = {
  seed: number;
  episodes: number;
  coverage: FaultCoverage;
  counts: Map<string, number>;
  failures: SoakFailure[];
};

/** Limit on the real time that shrinking a failed episode may take. */
const maxShrinkMs = 20_000;

/** Runs the episodes in sequence and stops at the first failure. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, minutes, firstEpisode = 0 } = options;
  const report: SoakReport = {
    seed,
    episodes: 0,
    coverage: FaultCoverage.create(),
    counts: new Map(),
    failures: [],
  };
  for (let index = 0; index < minutes; index += 1) {
    const failure = await runRandomEpisode(firstEpisode + index, {
      report,
      mayRetry: options.mayRetry,
    });
    report.episodes += 1;
    if (failure === undefined) continue;
    report.failures.push(failure);
    break;
  }
  return report;
}

/** Draws the faults of an episode from the seed and shrinks a failure. */
async function runRandomEpisode(
  episode: number,
  options: { report: SoakReport; mayRetry: EpisodeOptions["mayRetry"] },
): Promise<SoakFailure | undefined> {
  const { mayRetry, report } = options;
  const seed = mix32(report.seed, episode);
  const groups = selectFaultGroups(episode);
  let isFirst = true;
  const property = fc.asyncProperty(drawFaults(groups), async (faults) => {
    const result = await runEpisode({ seed, faults, mayRetry });
    if (isFirst) addResult(report, { faults, result });
    isFirst = false;
    if (result.violations.length === 0) return;
    throw new Error(result.violations.join("\n"));
  });
  const details = await fc.check(property, {
    seed,
    numRuns: 1,
    interruptAfterTimeLimit: maxShrinkMs,
  });
  if (!details.failed || details.counterexample === null) return undefined;
  const [faults] = details.counterexample;
  const { violations } = await runEpisode({
    seed,
    faults,
    mayRetry,
  });
  return { episode, faults, violations };
}

function addResult(
  report: SoakReport,
  episode: { faults: Fault[]; result: EpisodeReport },
): void {
  report.coverage.record(episode.faults);
  for (const [name, count] of episode.result.counts) {
    report.counts.set(name, (report.counts.get(name) ?? 0) + count);
  }
}

/** Formats a report as text. */
export function formatSoakReport(report: SoakReport): string {
  const { coverage, counts, episodes, failures, seed } = report;
  const missing = coverage.listMissingPairs();
  const pairs = coverage.pairCount + missing.length;
  return [
    `Seed ${seed}: ${episodes} virtual minutes`,
    "",
    "Faults by kind:",
    ...coverage.listKinds().map(([kind, count]) => `  ${count} x ${kind}`),
    `Pairs at the same time: ${coverage.pairCount} of ${pairs}`,
    ...(missing.length === 0 ? [] : [`  never: ${missing.join(", ")}`]),
    "",
    "Counts:",
    ...[...counts].sort(([left], [right]) => left < right ? -1 : 1)
      .map(([name, count]) => `  ${count} x ${name}`),
    "",
    ...failures.flatMap((failure) => formatFailure(failure, seed)),
    `${failures.length} failed episodes`,
  ].join("\n");
}

function formatFailure(failure: SoakFailure, seed: number): string[] {
  const { episode, faults, violations } = failure;
  return [
    `Episode ${episode} fails, shrunk to:`,
    ...faults.map((fault) => `  ${JSON.stringify(fault)}`),
    ...violations.map((violation) => `  VIOLATION ${violation}`),
    `Replay: npm run soak -- --seed ${seed} --episode ${episode} --minutes 1`,
    "",
  ];
}
