import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { VirtualTimerService } from "../../timers/mod.ts";
import {
  choosePlainRunner,
  type PoolRunner,
  RoomForecast,
  RunnerHealth,
  RunnerLoad,
} from "../mod.ts";
import type { CallArrival } from "./load_arrivals.ts";

/** What is replayed at plain runners. */
export type CallReplayOptions = {
  calls: readonly CallArrival[];
  /** Share of its calls that the first runner fails at once. */
  failingShare: number;
  seesHealth: boolean;
};

const routerCount = 4;
const runnerCount = 6;
const runnerSlots = 4;
const longEnoughMs = 120_000;

/** A runner with a queue; each place says when it comes free. */
type PlainRunner = { id: string; freeAtMs: number[]; held: number };

/** Replays plain calls; gives the share of them that failed. */
export function replayCalls(options: CallReplayOptions): number {
  const timers = VirtualTimerService.create();
  const random = createSeededRandom(6);
  const runners = createPlainRunners();
  const routers = Array.from({ length: routerCount }, createBeliefs);
  let failed = 0;
  const serve = ({ workMs }: CallArrival) => {
    const beliefs = routers[random.getInteger(routerCount)];
    const nowMs = timers.nowMs();
    const belief = choosePlainRunner(beliefs, {
      nowMs,
      random,
      failureDomain: "a",
    });
    if (belief === undefined) return;
    const runner = runners[beliefs.indexOf(belief)];
    const isFailed = runner === runners[0] &&
      random.getFloat() < options.failingShare;
    const endMs = isFailed ? nowMs + 1 : takePlace(runner, { nowMs, workMs });
    runner.held += 1;
    belief.load.ownOutstanding += 1;
    if (isFailed) failed += 1;
    timers.schedule(endMs - nowMs, () => {
      runner.held -= 1;
      belief.load.ownOutstanding -= 1;
      const load = { running: runner.held, waiting: 0, slots: runnerSlots };
      belief.load.observe(load, timers.nowMs());
      if (!options.seesHealth) return;
      belief.health.observe(isFailed ? "failed" : "succeeded", timers.nowMs());
    });
  };
  for (const call of options.calls) {
    timers.schedule(call.atMs, () => serve(call));
  }
  timers.advance(longEnoughMs);
  return failed / options.calls.length;
}

function createPlainRunners(): PlainRunner[] {
  return Array.from({ length: runnerCount }, (_, index) => ({
    id: `runner-${index}`,
    freeAtMs: new Array<number>(runnerSlots).fill(0),
    held: 0,
  }));
}

function createBeliefs(): PoolRunner[] {
  return createPlainRunners().map(({ id }) => ({
    id,
    failureDomain: "a",
    slots: runnerSlots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
  }));
}

/** Takes the place that comes free first; gets when the work in it ends. */
function takePlace(
  { freeAtMs }: PlainRunner,
  { nowMs, workMs }: { nowMs: number; workMs: number },
): number {
  const firstMs = Math.min(...freeAtMs);
  const endMs = Math.max(nowMs, firstMs) + workMs;
  freeAtMs[freeAtMs.indexOf(firstMs)] = endMs;
  return endMs;
}

/** What became of callers that come back after a refusal. */
export type ReturnReplayResult = { served: number; refused: number };

/** Chooses after which time a refused caller comes back. */
export type ReturnChooser = (
  forecast: RoomForecast,
  state: { nowMs: number; leftMs: number; random: number },
) => number;

const returnPlaces = 24;
const returnLimitMs = 1500;
const maxReturns = 3;

/** Replays callers that are refused without room, and come back when told. */
export function replayReturns(
  calls: readonly CallArrival[],
  chooseReturnMs: ReturnChooser,
): ReturnReplayResult {
  const timers = VirtualTimerService.create();
  const random: RandomSource = createSeededRandom(7);
  const forecast = RoomForecast.create();
  const result = { served: 0, refused: 0 };
  let running = 0;
  const run = (workMs: number, endMs: number) => {
    running += 1;
    timers.schedule(workMs, () => {
      running -= 1;
      forecast.recordFreed(timers.nowMs());
      if (timers.nowMs() <= endMs) result.served += 1;
    });
  };
  const call = (workMs: number, endMs: number, returnsLeft: number) => {
    if (running < returnPlaces) {
      run(workMs, endMs);
      return;
    }
    result.refused += 1;
    const nowMs = timers.nowMs();
    const returnMs = chooseReturnMs(forecast, {
      nowMs,
      leftMs: endMs - nowMs,
      random: random.getFloat(),
    });
    if (returnsLeft === 0) return;
    timers.schedule(returnMs, () => call(workMs, endMs, returnsLeft - 1));
  };
  for (const { atMs, workMs } of calls) {
    const endMs = atMs + returnLimitMs;
    timers.schedule(atMs, () => call(workMs, endMs, maxReturns));
  }
  timers.advance(longEnoughMs);
  return result;
}
