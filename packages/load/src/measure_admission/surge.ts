import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import {
  AdmissionHarness,
  drawExponential,
  getQuantile,
  type RequestArrival,
} from "./admission_harness.ts";

/** Effect of a surge of one workspace on all workspaces. */
export type SurgeResult = {
  /**
   * 95th percentile of the time to the first token in the workspaces that do
   * not surge, from the start of the surge.
   */
  othersP95Ms: number;
  othersRefused: number;
  surgeServed: number;
};

/** Parameters of one run; a factor of 1 is ordinary traffic. */
export type SurgeCase = { seed: number; factor: number; sharesSlots: boolean };

const surgingWorkspace = "w0";
const workspaces = 10;
const chatsPerWorkspace = 40;
const requestsPerSecond = 20;
/** Duration of ordinary traffic before the surge. */
const warmUpMs = 60_000;
const durationMs = 120_000;
const deadlineMs = 20_000;

/** Measures a surge of the largest of ten workspaces at one runner. */
export async function measureSurge(surge: SurgeCase): Promise<SurgeResult> {
  const harness = AdmissionHarness.create({ sharesSlots: surge.sharesSlots });
  const outcomes = await harness.run(
    createTraffic(surge),
    durationMs + deadlineMs,
  );
  const others = outcomes.filter(({ arrival }) =>
    arrival.workspace !== surgingWorkspace
  );
  const measured = others.filter(({ arrival }) => arrival.atMs >= warmUpMs);
  return {
    othersP95Ms: getQuantile(
      measured.flatMap(({ firstTokenMs }) => firstTokenMs ?? []),
      0.95,
    ),
    othersRefused: others.filter(({ executed }) => executed !== undefined)
      .length,
    surgeServed:
      outcomes.filter(({ arrival, endMs }) =>
        arrival.workspace === surgingWorkspace && endMs !== undefined
      ).length,
  };
}

function createTraffic({ factor, seed }: SurgeCase): RequestArrival[] {
  const weights = Array.from({ length: workspaces }, (_, n) => 1 / (n + 1));
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const arrivals = weights.flatMap((weight, index) => {
    // Each workspace has its own random source, so that a surge of one leaves
    // the traffic of the others unchanged.
    const random = createSeededRandom(seed * 1000 + index);
    const perSecond = requestsPerSecond * weight / sum;
    const surge = index === 0 ? factor : 1;
    return createArrivals(random, { index, perSecond, surge });
  });
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function createArrivals(
  random: RandomSource,
  options: { index: number; perSecond: number; surge: number },
): RequestArrival[] {
  const { index, perSecond, surge } = options;
  const arrivals: RequestArrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const factor = atMs < warmUpMs ? 1 : surge;
    atMs += drawExponential(random, 1000 / (perSecond * factor));
    const chat = index * chatsPerWorkspace +
      random.getInteger(chatsPerWorkspace);
    arrivals.push({
      atMs,
      workspace: `w${index}`,
      chat,
      firstBlocks: 20 + chat * 7 % 40,
      growthBlocks: 1 + random.getInteger(4),
      answerTokens: 32 + random.getInteger(64),
      deadlineMs,
    });
  }
  return arrivals;
}
