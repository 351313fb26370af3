import { MinuteMeter, minuteMs, PeakHold } from "@jasminetide/core/peak";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { drawExponential } from "./admission_harness.ts";

type Arrival = {
  id: string;
  atMs: number;
  costTokens: number;
  isDeferrable: boolean;
};

/** Tokens of a run's busiest minute and outcome of the deferrable requests. */
export type BusiestMinuteResult = {
  /** Tokens of the busiest minute. */
  peakTokens: number;
  /** Deferrable requests that end after their deadline. */
  missed: number;
  /** Requests that are still held back at the end of the run. */
  held: number;
};

/** Parameters of one run with two hours of traffic. */
export type BusiestMinuteCase = {
  seed: number;
  holdBack: boolean;
  /**
   * Whether to leave out the deferrable requests. The result is a lower bound
   * for every policy.
   */
  isRegularOnly?: boolean;
};

const minutes = 120;
const stepMs = 500;
const deadlineMs = 20 * minuteMs;
const maximumHoldMs = 10 * minuteMs;
const msPerToken = 3;
/** Share of the tokens that belong to deferrable requests. */
const deferrableRatio = 0.3;

/** Measures the busiest minute of one run. */
export function measureBusiestMinute(
  options: BusiestMinuteCase,
): BusiestMinuteResult {
  const { holdBack, isRegularOnly = false, seed } = options;
  const hold = PeakHold.create({
    getSettings: () => ({ holdBack, maximumHoldMs }),
    meter: MinuteMeter.create(),
  });
  const arrivals = createArrivals(seed);
  return runTraffic(
    isRegularOnly
      ? arrivals.filter(({ isDeferrable }) => !isDeferrable)
      : arrivals,
    hold,
  );
}

/**
 * Creates the requests per minute: a sine wave over the run with random bursts
 * of one to four minutes.
 */
function createRates(random: RandomSource): number[] {
  let burstMinutes = 0;
  let burst = 1;
  return Array.from({ length: minutes }, (_, minute) => {
    if (burstMinutes > 0) burstMinutes -= 1;
    else if (random.getFloat() < 0.08) {
      burstMinutes = 1 + random.getInteger(4);
      burst = 1.5 + random.getFloat();
    }
    const wave = 1 + 0.3 * Math.sin(minute / minutes * 2 * Math.PI);
    return 200 * wave * (burstMinutes > 0 ? burst : 1);
  });
}

function createArrivals(seed: number): Arrival[] {
  const random = createSeededRandom(seed);
  const arrivals: Arrival[] = [];
  const add = (atMs: number, mean: number, isDeferrable: boolean) => {
    const costTokens = 200 + Math.ceil(drawExponential(random, mean));
    const id = `${arrivals.length}`;
    arrivals.push({ id, atMs, costTokens, isDeferrable });
    return costTokens;
  };
  let regularTokens = 0;
  createRates(random).forEach((rate, minute) => {
    let atMs = drawExponential(random, minuteMs / rate);
    while (atMs < minuteMs) {
      regularTokens += add(minute * minuteMs + atMs, 600, false);
      atMs += drawExponential(random, minuteMs / rate);
    }
  });
  let remainingTokens = regularTokens * deferrableRatio / (1 - deferrableRatio);
  while (remainingTokens > 0) {
    remainingTokens -= add(random.getFloat() * minutes * minuteMs, 2000, true);
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

/**
 * Sends traffic through a hold and counts the tokens of each minute, by the
 * start of the requests.
 */
function runTraffic(arrivals: Arrival[], hold: PeakHold): BusiestMinuteResult {
  const tokens = new Map<number, number>();
  let missed = 0;
  let next = 0;
  const count = (nowMs: number, costTokens: number) => {
    const minute = Math.floor(nowMs / minuteMs);
    tokens.set(minute, (tokens.get(minute) ?? 0) + costTokens);
  };
  const endMs = minutes * minuteMs + deadlineMs;
  for (let nowMs = 0; nowMs <= endMs; nowMs += stepMs) {
    for (; arrivals[next]?.atMs <= nowMs; next += 1) {
      const { id, atMs, costTokens, isDeferrable } = arrivals[next];
      if (isDeferrable) {
        hold.add({
          id,
          costTokens,
          arrivedAtMs: atMs,
          deadlineAtMs: atMs + deadlineMs,
          durationMs: costTokens * msPerToken,
        });
      } else {
        hold.meter.record(costTokens, { atMs: nowMs, isDeferrable });
        count(nowMs, costTokens);
      }
    }
    for (const { costTokens, deadlineAtMs } of hold.release(nowMs)) {
      count(nowMs, costTokens);
      if (nowMs + costTokens * msPerToken > deadlineAtMs) missed += 1;
    }
  }
  const peakTokens = Math.max(...tokens.values());
  return { peakTokens, missed, held: hold.size };
}
