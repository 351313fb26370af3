import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import type { Scenario } from "./scenario.ts";

/** What happens to a runner. */
export type ChurnEvent = {
  atMs: number;
  runner: number;
  /**
   * `leaving` announces a planned stop, `gone` ends it; `lost` is a stop
   * without notice; `back` is a start with an empty cache; `hidden` and
   * `shown` concern the list of one router only.
   */
  type: "leaving" | "gone" | "lost" | "back" | "hidden" | "shown";
  /** Router whose list differs. */
  router?: number;
};

const lostShare = 0.25;
const drainMs = 20_000;
const replaceMs = { smallest: 5000, range: 15_000 };
const flapPeriodMs = 6 * 60_000;
const flap = { count: 5, downMs: 3000, upMs: 9000 };
const hidePeriodMs = 3 * 60_000;
const hideMs = 20_000;

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
    const runner = chooseFree(busyUntilMs, { atMs, random });
    busyUntilMs[runner] = appendReplacement(events, { runner, atMs, random });
  }
  for (atMs = flapPeriodMs / 2; atMs < endMs; atMs += flapPeriodMs) {
    const runner = chooseFree(busyUntilMs, { atMs, random });
    busyUntilMs[runner] = appendFlapping(events, { runner, atMs });
  }
  for (atMs = hidePeriodMs; atMs < endMs; atMs += hidePeriodMs) {
    const runner = random.getInteger(scenario.runners);
    const router = random.getInteger(scenario.routers);
    events.push({ atMs, runner, router, type: "hidden" });
    events.push({ atMs: atMs + hideMs, runner, router, type: "shown" });
  }
  return sortValid(events, scenario.runners);
}

function chooseFree(
  busyUntilMs: readonly number[],
  options: { atMs: number; random: RandomSource },
): number {
  const free = busyUntilMs.flatMap((untilMs, index) =>
    untilMs < options.atMs ? [index] : []
  );
  return free[options.random.getInteger(free.length)] ?? 0;
}

function appendReplacement(
  events: ChurnEvent[],
  options: { runner: number; atMs: number; random: RandomSource },
): number {
  const { runner, atMs, random } = options;
  const isLost = random.getFloat() < lostShare;
  const goneMs = isLost ? atMs : atMs + drainMs;
  const backMs = goneMs + replaceMs.smallest +
    random.getFloat() * replaceMs.range;
  if (isLost) events.push({ atMs, runner, type: "lost" });
  else {
    events.push({ atMs, runner, type: "leaving" });
    events.push({ atMs: goneMs, runner, type: "gone" });
  }
  events.push({ atMs: backMs, runner, type: "back" });
  return backMs;
}

function appendFlapping(
  events: ChurnEvent[],
  options: { runner: number; atMs: number },
): number {
  let { atMs } = options;
  for (let count = 0; count < flap.count; count++) {
    events.push({ atMs, runner: options.runner, type: "lost" });
    atMs += flap.downMs;
    events.push({ atMs, runner: options.runner, type: "back" });
    atMs += flap.upMs;
  }
  return atMs;
}

/** Sorts events and drops those that do not fit the runner's state. */
function sortValid(events: ChurnEvent[], runners: number): ChurnEvent[] {
  const states = new Array<string>(runners).fill("back");
  const allowed: { [type: string]: string[] } = {
    leaving: ["back"],
    lost: ["back"],
    gone: ["leaving"],
    back: ["gone", "lost"],
  };
  return events.sort((left, right) => left.atMs - right.atMs)
    .filter((event) => {
      if (event.router !== undefined) return true;
      if (!allowed[event.type].includes(states[event.runner])) return false;
      states[event.runner] = event.type;
      return true;
    });
}
