import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { createSeededRandom, type RandomSource } from "../random/mod.ts";
import { AppError } from "../results/mod.ts";
import { VirtualTimerService } from "../timers/mod.ts";
import { MinuteMeter, minuteMs, PeakGate, PeakHold } from "./mod.ts";

type Arrival = {
  id: string;
  atMs: number;
  costTokens: number;
  isDeferrable: boolean;
};

type Outcome = { peakTokens: number; missed: number; held: number };

type World = {
  arrivals: Arrival[];
  gate: PeakGate;
  abort: AbortController;
  outcome: unknown;
};

const minutes = 120;
const stepMs = 500;
const deadlineMs = 20 * minuteMs;
const msPerToken = 3;

function createHold(holdBack: boolean): PeakHold {
  return PeakHold.create({
    getSettings: () => ({ holdBack, maximumHoldMs: 600_000 }),
    meter: MinuteMeter.create(),
  });
}

function getExponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.getFloat()) * mean;
}

/** Traffic by minute: a slow wave with bursts of one to four minutes. */
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
    const costTokens = 200 + Math.ceil(getExponential(random, mean));
    const id = `${arrivals.length}`;
    arrivals.push({ id, atMs, costTokens, isDeferrable });
    return costTokens;
  };
  let regularTokens = 0;
  createRates(random).forEach((rate, minute) => {
    let atMs = getExponential(random, minuteMs / rate);
    while (atMs < minuteMs) {
      regularTokens += add(minute * minuteMs + atMs, 600, false);
      atMs += getExponential(random, minuteMs / rate);
    }
  });
  let leftTokens = regularTokens * 0.3 / 0.7;
  while (leftTokens > 0) {
    leftTokens -= add(random.getFloat() * minutes * minuteMs, 2000, true);
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

/** Sends traffic through a hold, and counts tokens by the minute they run. */
function runTraffic(arrivals: Arrival[], hold: PeakHold): Outcome {
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

Given(
  "two hours of traffic of which 30 % may wait 20 minutes, seed {int}",
  function (this: World, seed: number) {
    this.arrivals = createArrivals(seed);
  },
);

Then(
  "holding back lowers the busiest minute by at least {int} %",
  function (this: World, percent: number) {
    const before = runTraffic(this.arrivals, createHold(false));
    const after = runTraffic(this.arrivals, createHold(true));
    const ratio = after.peakTokens / before.peakTokens;
    assert.ok(ratio <= 1 - percent / 100, `ratio ${ratio.toFixed(3)}`);
  },
);

Then(
  "no deadline is missed and nothing stays held",
  function (this: World) {
    const { missed, held } = runTraffic(this.arrivals, createHold(true));
    assert.deepEqual([missed, held], [0, 0]);
  },
);

Then(
  "seeds {int} to {int} sum to at least {int} % less and none gets worse",
  (first: number, last: number, percent: number) => {
    let [sumBefore, sumAfter] = [0, 0];
    for (let seed = first; seed <= last; seed += 1) {
      const arrivals = createArrivals(seed);
      const before = runTraffic(arrivals, createHold(false)).peakTokens;
      const after = runTraffic(arrivals, createHold(true)).peakTokens;
      assert.ok(after <= before, `seed ${seed}: ${after} after ${before}`);
      sumBefore += before;
      sumAfter += after;
    }
    assert.ok(sumAfter <= (1 - percent / 100) * sumBefore);
  },
);

Then(
  "with seed {int} every held request is released in time",
  (seed: number) => {
    const request = fc.record({
      atMs: fc.integer({ min: 0, max: 600_000 }),
      costTokens: fc.integer({ min: 1, max: 50_000 }),
      waitMs: fc.integer({ min: 1000, max: 1_800_000 }),
      regularTokens: fc.integer({ min: 0, max: 200_000 }),
    });
    const property = fc.property(fc.array(request), (requests) => {
      const hold = createHold(true);
      const sorted = requests.toSorted((left, right) => left.atMs - right.atMs);
      for (const [index, each] of sorted.entries()) {
        const { atMs, costTokens, waitMs, regularTokens } = each;
        hold.meter.record(regularTokens, { atMs, isDeferrable: false });
        const deadlineAtMs = atMs + waitMs;
        const durationMs = waitMs / 8;
        const request = { id: `${index}`, costTokens, arrivedAtMs: atMs };
        hold.add({ ...request, deadlineAtMs, durationMs });
      }
      let released = 0;
      let dueMs = hold.getNextDueMs();
      while (dueMs !== undefined) {
        for (const { deadlineAtMs, durationMs } of hold.release(dueMs)) {
          assert.ok(dueMs + durationMs <= deadlineAtMs);
          released += 1;
        }
        dueMs = hold.getNextDueMs();
      }
      assert.equal(released, requests.length);
    });
    fc.assert(property, { seed });
  },
);

/** Creates a gate whose present minute is full. */
function createGate(world: World, holdBack: boolean): void {
  const timers = VirtualTimerService.create();
  const hold = createHold(holdBack);
  hold.meter.record(1_000_000, { atMs: 0, isDeferrable: false });
  world.gate = PeakGate.create({ hold, timers });
  world.abort = new AbortController();
}

async function offerHeld(world: World): Promise<void> {
  world.gate.wait({
    id: "held",
    costTokens: 1000,
    arrivedAtMs: 0,
    deadlineAtMs: deadlineMs,
    durationMs: 1000,
  }, world.abort.signal).then(
    () => world.outcome = "released",
    (error: unknown) => world.outcome = error,
  );
  await setImmediate();
}

Given("a gate that does not hold back", function (this: World) {
  createGate(this, false);
});

Given(
  "a gate at its peak with a held request",
  async function (this: World) {
    createGate(this, true);
    await offerHeld(this);
    assert.equal(this.outcome, undefined);
  },
);

When(
  "a deferrable request comes at the peak",
  async function (this: World) {
    await offerHeld(this);
  },
);

When("the caller of the held request goes", async function (this: World) {
  this.abort.abort();
  await setImmediate();
});

When("the gate refuses all", async function (this: World) {
  this.gate.refuseAll();
  await setImmediate();
});

Then("it is released at once", function (this: World) {
  assert.equal(this.outcome, "released");
});

Then(
  "the held request is refused at once as not run",
  function (this: World) {
    assert.ok(this.outcome instanceof AppError);
    assert.equal(this.outcome.executed, "no");
    assert.equal(this.gate.hold.size, 0);
  },
);
