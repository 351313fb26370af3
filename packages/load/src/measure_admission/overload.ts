import { createSeededRandom } from "@jasminetide/core/random";
import {
  Bench,
  type BenchArrival,
  type BenchOutcome,
  getExponential,
  getQuantile,
} from "./bench.ts";

/** One run: adaptive concurrency, or a fixed limit. */
export type OverloadCase = {
  seed: number;
  requestsPerSecond: number;
  fixedLimit?: number;
};

/** What came of the requests after the first 20 seconds. */
export type OverloadResult = {
  inTime: number;
  late: number;
  refused: number;
  firstTokenP95Ms: number;
  /** p95 over the answers of their mean time between tokens. */
  betweenTokensP95Ms: number;
};

const durationMs = 60_000;
const warmUpMs = 20_000;
const deadlineMs = 10_000;
const promptBlocks = 63;
/** A target that is never missed. */
const noTargetMs = 1_000_000_000;

/** Measures one runner under more new chats than it can serve. */
export async function measureOverload(
  overload: OverloadCase,
): Promise<OverloadResult> {
  const { fixedLimit } = overload;
  const bench = Bench.create({
    admission: fixedLimit === undefined ? { maximumConcurrency: 256 } : {
      maximumConcurrency: fixedLimit,
      targetFirstTokenMs: noTargetMs,
      targetBetweenTokensMs: noTargetMs,
    },
    profile: { maximumBatch: 256, sequenceStepMs: 0.4 },
  });
  const outcomes = (await bench.run(
    createArrivals(overload),
    durationMs + 2 * deadlineMs,
  )).filter(({ arrival }) => arrival.atMs >= warmUpMs);
  const ends = outcomes.flatMap(({ endMs }) => endMs ?? []);
  return {
    inTime: ends.filter((endMs) => endMs <= deadlineMs).length,
    late: ends.filter((endMs) => endMs > deadlineMs).length,
    refused: outcomes.filter(({ executed }) => executed === "no").length,
    firstTokenP95Ms: getQuantile(
      outcomes.flatMap(({ firstTokenMs }) => firstTokenMs ?? []),
      0.95,
    ),
    betweenTokensP95Ms: getQuantile(
      outcomes.filter(({ endMs }) => endMs !== undefined).map(getMeanGap),
      0.95,
    ),
  };
}

function getMeanGap({ arrival, endMs, firstTokenMs }: BenchOutcome): number {
  const durationMs = (endMs ?? 0) - (firstTokenMs ?? 0);
  return durationMs / (arrival.answerTokens - 1);
}

function createArrivals(overload: OverloadCase): BenchArrival[] {
  const random = createSeededRandom(overload.seed);
  const arrivals: BenchArrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += getExponential(random, 1000 / overload.requestsPerSecond);
    arrivals.push({
      atMs,
      workspace: `w${random.getInteger(10)}`,
      chat: arrivals.length,
      firstBlocks: promptBlocks,
      growthBlocks: 1,
      answerTokens: 32 + random.getInteger(64),
      deadlineMs,
    });
  }
  return arrivals;
}
