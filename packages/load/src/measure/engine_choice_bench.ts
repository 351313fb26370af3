import { performance } from "node:perf_hooks";
import { hash32, mix32 } from "@jasminetide/core/hashing";
import {
  chooseEngine,
  type PoolRunner,
  PrefixHolders,
  RunnerHealth,
  RunnerLoad,
} from "@jasminetide/core/pools";
import { createSeededRandom } from "@jasminetide/core/random";
import { build } from "hdr-histogram-js";

/** Size of a pool of engines and the work that is in it. */
export type EngineChoiceOptions = {
  runners: number;
  outstanding: number;
  seed: number;
};

/** Time that a gateway takes to choose an engine for a prompt. */
export type EngineChoiceFigures = {
  p50Microseconds: number;
  p99Microseconds: number;
  /** Of the choice by hash alone, with the same runners and parts. */
  hashP50Microseconds: number;
};

const choices = 20_000;
const warmUpChoices = 5000;
const parts = 500;
const sharedTokens = 3000;

/** Measures the choice of an engine beside that by hash alone. */
export function measureEngineChoice(
  options: EngineChoiceOptions,
): EngineChoiceFigures {
  const runners = createLoadedRunners(options);
  const holders = PrefixHolders.create({ maxPrefixes: parts });
  const choose = (part: string) => {
    const choice = chooseEngine(runners, {
      homeKey: part,
      sharedTokens,
      holders: holders.getHolders(part, 0),
      nowMs: 0,
    });
    if (choice !== undefined) holders.record(part, choice.runner.id, 0);
  };
  const whole = measureChoices(choose);
  const hash = measureChoices((part) => void chooseByHash(runners, part));
  return {
    p50Microseconds: whole.getValueAtPercentile(50) / 1000,
    p99Microseconds: whole.getValueAtPercentile(99) / 1000,
    hashP50Microseconds: hash.getValueAtPercentile(50) / 1000,
  };
}

function createLoadedRunners(options: EngineChoiceOptions): PoolRunner[] {
  const random = createSeededRandom(options.seed);
  const slots = Math.ceil(2 * options.outstanding / options.runners);
  const runners = Array.from({ length: options.runners }, (_, index) => ({
    id: `runner-${index}`,
    failureDomain: `domain-${index % 4}`,
    slots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
  }));
  for (let request = 0; request < options.outstanding; request++) {
    runners[random.getInteger(runners.length)].load.ownOutstanding += 1;
  }
  return runners;
}

function measureChoices(choose: (part: string) => void) {
  const nanoseconds = build({ numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < warmUpChoices + choices; index++) {
    const part = `part-${index % parts}`;
    const startMs = performance.now();
    choose(part);
    const durationMs = performance.now() - startMs;
    if (index < warmUpChoices) continue;
    nanoseconds.recordValue(Math.max(1, Math.round(durationMs * 1_000_000)));
  }
  return nanoseconds;
}

/** Rendezvous by hash alone: the least that an even choice costs. */
function chooseByHash(
  runners: readonly PoolRunner[],
  part: string,
): PoolRunner {
  const key = hash32(part);
  let best = runners[0];
  let bestWeight = -1;
  for (const runner of runners) {
    const weight = mix32(key, hash32(runner.id));
    if (weight <= bestWeight) continue;
    best = runner;
    bestWeight = weight;
  }
  return best;
}
