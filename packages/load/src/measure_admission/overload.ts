import { createSeededRandom } from "@jasminetide/core/random";
import {
  AdmissionHarness,
  drawExponential,
  getQuantile,
  type RequestArrival,
  type RequestOutcome,
} from "./admission_harness.ts";

/** Parameters of one run, with adaptive concurrency or a fixed limit. */
export type OverloadCase = {
  seed: number;
  requestsPerSecond: number;
  /** Fixed concurrency limit; absent for the adaptive one. */
  fixedLimit?: number;
};

/** Outcomes of the requests that arrive after the warm-up of 20 seconds. */
export type OverloadResult = {
  inTime: number;
  late: number;
  refused: number;
  firstTokenP95Ms: number;
  /** 95th percentile over the answers of the mean time between tokens. */
  betweenTokensP95Ms: number;
};

const durationMs = 60_000;
const warmUpMs = 20_000;
const deadlineMs = 10_000;
const promptBlocks = 63;
/** Target that is never missed, so that the limit does not adapt. */
const noTargetMs = 1_000_000_000;

/** Measures one runner that gets more new chats than it can serve. */
export async function measureOverload(
  overload: OverloadCase,
): Promise<OverloadResult> {
  const { fixedLimit } = overload;
  const harness = AdmissionHarness.create({
    admission: fixedLimit === undefined ? { maximumConcurrency: 256 } : {
      maximumConcurrency: fixedLimit,
      targetFirstTokenMs: noTargetMs,
      targetBetweenTokensMs: noTargetMs,
    },
    profile: { maximumBatch: 256, sequenceStepMs: 0.4 },
  });
  const outcomes = (await harness.run(
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

function getMeanGap({ arrival, endMs, firstTokenMs }: RequestOutcome): number {
  const durationMs = (endMs ?? 0) - (firstTokenMs ?? 0);
  return durationMs / (arrival.answerTokens - 1);
}

function createArrivals(overload: OverloadCase): RequestArrival[] {
  const random = createSeededRandom(overload.seed);
  const arrivals: RequestArrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += drawExponential(random, 1000 / overload.requestsPerSecond);
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
