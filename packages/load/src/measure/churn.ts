import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import type { Scenario } from "./scenario.ts";

/** A change of a runner or of its entry in a host list. */
export type ChurnEvent = {
  atMs: number;
  runner: number;
  /**
   * `leaving` announces a planned stop and `stopped` completes it; `crashed` is
   * a stop without notice; `started` is a start with an empty cache;
   * `unlisted` and `relisted` apply to the host list of one router only.
   */
  type:
    | "leaving"
    | "stopped"
    | "crashed"
    | "started"
    | "unlisted"
    | "relisted";
  /** Router whose host list changes. */
  router?: number;
};

/** Share of the replacements that are crashes. */
const crashShare = 0.25;
/** Time from the announcement of a planned stop to the stop. */
const drainMs = 20_000;
/** Time from a stop to the start of the replacement. */
const replaceMs = { smallest: 5000, range: 15_000 };
const flapPeriodMs = 6 * 60_000;
const flap = { count: 5, downMs: 3000, upMs: 9000 };
/** Period at which one router's host list omits a runner for `unlistedMs`. */
const unlistPeriodMs = 3 * 60_000;
const unlistedMs = 20_000;

/** Creates the churn of a scenario in order of time. */
export function createChurn(scenario: Scenario): ChurnEvent[] {
  if (scenario.churnPerMinute === 0) return [];
  const random = createSeededRandom(scenario.seed + 1);
  const events: ChurnEvent[] = [];
  const busyUntilMs = new Array<number>(scenario.runners).fill(0);
  const endMs = scenario.warmUpMs + scenario.durationMs;
  const meanMs = 60_000 / (scenario.runners * scenario.churnPerMinute);
  let atMs = 0;
  while (atMs < endMs) {
    atMs += -Math.log(1 - random.getFloat()) * meanMs;
    const runner = chooseIdle(busyUntilMs, { atMs, random });
    busyUntilMs[runner] = appendReplacement(events, { runner, atMs, random });
  }
  for (atMs = flapPeriodMs / 2; atMs < endMs; atMs += flapPeriodMs) {
    const runner = chooseIdle(busyUntilMs, { atMs, random });
    busyUntilMs[runner] = appendFlapping(events, { runner, atMs });
  }
  for (atMs = unlistPeriodMs; atMs < endMs; atMs += unlistPeriodMs) {
    const runner = random.getInteger(scenario.runners);
    const router = random.getInteger(scenario.routers);
    events.push({ atMs, runner, router, type: "unlisted" });
    events.push({ atMs: atMs + unlistedMs, runner, router, type: "relisted" });
  }
  return sortValid(events, scenario.runners);
}

/** Chooses a runner that has no replacement or flapping in progress. */
function chooseIdle(
  busyUntilMs: readonly number[],
  options: { atMs: number; random: RandomSource },
): number {
  const idle = busyUntilMs.flatMap((untilMs, index) =>
    untilMs < options.atMs ? [index] : []
  );
  return idle[options.random.getInteger(idle.length)] ?? 0;
}

function appendReplacement(
  events: ChurnEvent[],
  options: { runner: number; atMs: number; random: RandomSource },
): number {
  const { runner, atMs, random } = options;
  const isCrash = random.getFloat() < crashShare;
  const stoppedMs = isCrash ? atMs : atMs + drainMs;
  const startedMs = stoppedMs + replaceMs.smallest +
    random.getFloat() * replaceMs.range;
  if (isCrash) events.push({ atMs, runner, type: "crashed" });
  else {
    events.push({ atMs, runner, type: "leaving" });
    events.push({ atMs: stoppedMs, runner, type: "stopped" });
  }
  events.push({ atMs: startedMs, runner, type: "started" });
  return startedMs;
}

function appendFlapping(
  events: ChurnEvent[],
  options: { runner: number; atMs: number },
): number {
  let { atMs } = options;
  for (let count = 0; count < flap.count; count++) {
    events.push({ atMs, runner: options.runner, type: "crashed" });
    atMs += flap.downMs;
    events.push({ atMs, runner: options.runner, type: "started" });
    atMs += flap.upMs;
  }
  return atMs;
}

/** Sorts events and drops those that are invalid in the runner's state. */
function sortValid(events: ChurnEvent[], runners: number): ChurnEvent[] {
  const states = new Array<string>(runners).fill("started");
  const allowed: { [type: string]: string[] } = {
    leaving: ["started"],
    crashed: ["started"],
    stopped: ["leaving"],
    started: ["stopped", "crashed"],
  };
  return events.sort((left, right) => left.atMs - right.atMs)
    .filter((event) => {
      if (event.router !== undefined) return true;
      if (!allowed[event.type].includes(states[event.runner])) return false;
      states[event.runner] = event.type;
      return true;
    });
}
