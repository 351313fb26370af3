import { performance } from "node:perf_hooks";
import { hash32, mix32 } from "@jasminetide/core/hashing";
import {
  chooseEngine,
  type PoolRunner,
  PrefixHolders,
  RunnerAvailability,
  RunnerHealth,
  RunnerLoad,
} from "@jasminetide/core/pools";
import { createSeededRandom } from "@jasminetide/core/random";
import { build } from "hdr-histogram-js";

/** Size of a pool of engines and its outstanding requests. */
export type EngineChoiceOptions = {
  runners: number;
  outstanding: number;
  seed: number;
  /**
   * Gateways that share the limits of cold runners. If given, one failure domain
   * in four is evacuated, and half of the other runners are cold.
   */
  gateways?: number;
};

/** A runner and the limits that its process has. */
type LimitedRunner = PoolRunner & { availability: RunnerAvailability };

/** Time that a gateway takes to choose an engine for a prompt. */
export type EngineChoiceFigures = {
  p50Microseconds: number;
  p99Microseconds: number;
  /** Time of the choice by hash alone, with the same runners and prefixes. */
  hashP50Microseconds: number;
};

const choices = 20_000;
const warmUpChoices = 5000;
const prefixes = 500;
const sharedTokens = 3000;

/** Measures the choice of an engine and, for comparison, by hash alone. */
export function measureEngineChoice(
  options: EngineChoiceOptions,
): EngineChoiceFigures {
  const runners = createLoadedRunners(options);
  const holders = PrefixHolders.create({ maxPrefixes: prefixes });
  const isWithinLimits = createLimitCheck(options);
  const choose = (prefix: string) => {
    const choice = chooseEngine(runners.filter(isWithinLimits), {
      prefixId: prefix,
      sharedTokens,
      holders: holders.getHolders(prefix, 0),
      nowMs: 0,
      mayQueue: true,
    });
    if (choice !== undefined) holders.record(prefix, choice.runner.id, 0);
  };
  const full = measureChoices(choose);
  const hash = measureChoices((prefix) => void chooseByHash(runners, prefix));
  return {
    p50Microseconds: full.getValueAtPercentile(50) / 1000,
    p99Microseconds: full.getValueAtPercentile(99) / 1000,
    hashP50Microseconds: hash.getValueAtPercentile(50) / 1000,
  };
}

/** Creates the check of the limits of runners, as a gateway asks it. */
function createLimitCheck(
  { gateways = 1 }: EngineChoiceOptions,
): (runner: LimitedRunner) => boolean {
  const [selfHash, ...otherHashes] = Array.from(
    { length: gateways },
    (_, index) => hash32(`gateway-${index}`),
  );
  const sharers = { selfHash, otherHashes };
  return ({ availability, idHash }) => {
    const use = { nowMs: 0, runnerHash: idHash, sharers, perSecond: 23 };
    return availability.isAvailable(0) &&
      availability.getLimitWaitMs(use) === 0;
  };
}

/** Creates the runners of the domains that are not evacuated. */
function createLoadedRunners(options: EngineChoiceOptions): LimitedRunner[] {
  const random = createSeededRandom(options.seed);
  const slots = Math.ceil(2 * options.outstanding / options.runners);
  const runners = Array.from({ length: options.runners }, (_, index) => ({
    id: `runner-${index}`,
    idHash: hash32(`runner-${index}`),
    listedAtMs: 0,
    failureDomain: `domain-${index % 4}`,
    slots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
    availability: RunnerAvailability.create(),
  }));
  for (let request = 0; request < options.outstanding; request++) {
    runners[random.getInteger(runners.length)].load.ownOutstanding += 1;
  }
  if (options.gateways === undefined) return runners;
  const listed = runners.filter((_, index) => index % 4 > 0);
  listed.forEach(({ availability }, index) => {
    if (index % 2 === 0) availability.cold.record(10_000, 0);
  });
  return listed;
}

function measureChoices(choose: (prefix: string) => void) {
  const nanoseconds = build({ numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < warmUpChoices + choices; index++) {
    const prefix = `prefix-${index % prefixes}`;
    const startMs = performance.now();
    choose(prefix);
    const durationMs = performance.now() - startMs;
    if (index < warmUpChoices) continue;
    nanoseconds.recordValue(Math.max(1, Math.round(durationMs * 1_000_000)));
  }
  return nanoseconds;
}

/** Chooses by rendezvous hashing alone, the cheapest balanced choice. */
function chooseByHash(
  runners: readonly PoolRunner[],
  prefix: string,
): PoolRunner {
  const key = hash32(prefix);
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
