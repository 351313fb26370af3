/** Runs one episode: a new fleet, seeded faults, recovery and checks. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { createSeededRandom } from "@jasminetide/core/random";
import { Callers } from "./callers.ts";
import { checkHistory } from "./check_history.ts";
import {
  type FleetSize,
  isDomainFault,
  type PlannedFault,
} from "./fault_kinds.ts";
import { drawFaults } from "./faults.ts";
import { retryBudget } from "./fleet_gateway.ts";
import { createHistory, type History, isServed } from "./history.ts";
import { defaultSwitches, type EpisodeSwitches } from "./episode_switches.ts";
import { injectFault } from "./inject_fault.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { Violation } from "./violation.ts";
import type { SoakPrograms } from "./wire.ts";

/** Options of an episode, which runs faults on a fleet of its own. */
export type EpisodeOptions = {
  seed: number;
  size: FleetSize;
  programs: SoakPrograms;
  /** Replaces default switches. */
  switches?: Partial<EpisodeSwitches>;
  /** Folder below which logs are kept. */
  folder: string;
};

/** Result of an episode. */
export type EpisodeReport = {
  seed: number;
  faults: PlannedFault[];
  calls: number;
  /** Share of calls served, without those whose callers disconnected. */
  servedShare: number;
  /** Number of kinds of calls of which at least one was served. */
  servedKinds: number;
  violations: Violation[];
  folder: string;
};

/** Time from the end of the last fault until every call must be served. */
const recoveryMs = 6000;

/** Rounds of calls of every kind at every gateway after the recovery. */
const finalRounds = 3;

/** Runs an episode; the same seed draws the same faults. */
export async function runEpisode(
  options: EpisodeOptions,
): Promise<EpisodeReport> {
  const { programs, seed, size } = options;
  const switches = { ...defaultSwitches, ...options.switches };
  const folder = join(options.folder, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const random = createSeededRandom(seed);
  const faults = drawFaults(random, { ...size, ...switches });
  // Runners are cold, and domains arranged for it, only where it was drawn.
  switches.hasDomainFaults = faults.some(({ kind }) => isDomainFault(kind));
  const history = createHistory();
  const { calls } = history;
  await using fleet = await SoakFleet.create({
    programs,
    size,
    random,
    history,
    switches,
    folder,
  });
  using callers = Callers.create({ fleet, wire: programs.wire, random, calls });
  await Promise.all(faults.map(async (fault) => {
    await setTimeout(fault.startMs);
    await injectFault(fault, { callers, fleet, history });
  }));
  await setTimeout(recoveryMs);
  await callers.stop();
  history.settledAtMs = Date.now();
  for (let round = 0; round < finalRounds; round++) await callers.callAll();
  return {
    seed,
    faults,
    calls: calls.length,
    ...summarizeServed(history),
    violations: checkHistory(history, retryBudget),
    folder,
  };
}

function summarizeServed({ calls }: History) {
  const expected = calls.filter(({ outcome }) => outcome.type !== "left");
  const served = expected.filter(isServed);
  return {
    servedShare: served.length / Math.max(1, expected.length),
    servedKinds: new Set(served.map(({ kind }) => kind)).size,
  };
}
