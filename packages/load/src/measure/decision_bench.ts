import { performance } from "node:perf_hooks";
import { hash64 } from "@jasminetide/core/hashing";
import { createSeededRandom } from "@jasminetide/core/random";
import { chooseChatRunner, PoolView } from "@jasminetide/core/routing";
import { build } from "hdr-histogram-js";
import { loadBounds } from "./scenario.ts";

/** Time of a routing decision for a pool of one size. */
export type DecisionFigures = {
  runners: number;
  decisions: number;
  p50Microseconds: number;
  p99Microseconds: number;
};

const decisions = 50_000;
const warmUpDecisions = 5000;
const meanLoadTokens = 20_000;
const costTokens = 500;

/** Measures the time that a router takes to choose a runner for a turn. */
export function measureDecisions(
  options: { runners: number; seed: number },
): DecisionFigures {
  const random = createSeededRandom(options.seed);
  const pool = createPool(
    options.runners,
    () => meanLoadTokens * (0.8 + 0.4 * random.getFloat()),
  );
  const nanoseconds = build({ numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < warmUpDecisions + decisions; index++) {
    const key = hash64(`chat ${index}`);
    const startMs = performance.now();
    const choice = chooseChatRunner(
      { key, costTokens, tried: new Set() },
      pool,
      { nowMs: index, ...loadBounds },
    );
    const durationMs = performance.now() - startMs;
    if (choice === undefined || index < warmUpDecisions) continue;
    nanoseconds.recordValue(Math.max(1, Math.round(durationMs * 1_000_000)));
  }
  return {
    runners: options.runners,
    decisions,
    p50Microseconds: nanoseconds.getValueAtPercentile(50) / 1000,
    p99Microseconds: nanoseconds.getValueAtPercentile(99) / 1000,
  };
}

function createPool(runners: number, getLoad: () => number): PoolView {
  const pool = PoolView.create({
    rampUpMs: 1,
    holdDownMs: 1000,
    maximumHoldDownMs: 60_000,
  });
  for (let index = 0; index < runners; index++) {
    pool.add({
      id: `assistant-${index}`,
      failureDomain: `domain-${index % 4}`,
      capacity: 1,
      loadTokens: getLoad(),
      observedAtMs: 0,
    }, { joinedAtMs: -1, nowMs: 0 });
  }
  return pool;
}
