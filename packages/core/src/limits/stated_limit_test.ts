import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { hash32, type KnownRouters } from "../hashing/mod.ts";
import { createSeededRandom, type RandomSource } from "../random/mod.ts";
import { StatedLimit } from "./stated_limit.ts";

type Run = {
  routers: number;
  perSecond: number;
  durationMs: number;
  /** Whether a router has a request to send at a time. */
  hasRequest: (nowMs: number) => boolean;
  /** Whether the routers know each other. */
  areKnown: boolean;
};

type World = { areUnknown?: boolean; sentAtMs: number[]; limit: StatedLimit };

const seed = 20_261_204;
const stepMs = 10;
const windowMs = 4000;
const runnerHash = hash32("runner");

/** Lets routers send as soon as they may; returns when they did. */
function simulate(run: Run): number[] {
  const sharers = listSharers(run);
  const limits = sharers.map(() => StatedLimit.create());
  for (const limit of limits) limit.record(run.perSecond, 0);
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < run.durationMs; nowMs += stepMs) {
    limits.forEach((limit, index) => {
      if (!run.hasRequest(nowMs)) return;
      const use = { nowMs, runnerHash, sharers: sharers[index] };
      if (limit.getWaitMs(use) > 0) return;
      limit.recordSend();
      limit.record(run.perSecond, nowMs);
      sentAtMs.push(nowMs);
    });
  }
  return sentAtMs;
}

function listSharers({ areKnown, routers }: Run): KnownRouters[] {
  const hashes = Array.from(
    { length: routers },
    (_, index) => hash32(`router-${index}`),
  );
  return hashes.map((selfHash) => ({
    selfHash,
    otherHashes: areKnown
      ? hashes.filter((hash) => hash !== selfHash)
      : undefined,
  }));
}

Given("routers that know no others", function (this: World) {
  this.areUnknown = true;
});

When(
  "{int} routers send all they may for {int} seconds at a limit of {float} requests a second",
  function (this: World, routers: number, seconds: number, perSecond: number) {
    this.sentAtMs = simulate({
      routers,
      perSecond,
      durationMs: seconds * 1000,
      hasRequest: () => true,
      areKnown: this.areUnknown !== true,
    });
  },
);

Then(
  "the runner gets between {int} and {int} requests",
  function (this: World, least: number, most: number) {
    const count = this.sentAtMs.length;
    assert.ok(count >= least && count <= most, `${count} requests`);
  },
);

Then(
  "in {int} random runs no 4 seconds have more than {float} times the limit and {int} requests",
  function (numRuns: number, factor: number, slack: number) {
    const arbitraryRun = fc.record({
      routers: fc.integer({ min: 1, max: 100 }),
      perSecond: fc.double({ min: 0.1, max: 40, noNaN: true }),
      runSeed: fc.integer(),
    });
    fc.assert(
      fc.property(arbitraryRun, ({ perSecond, routers, runSeed }) => {
        const random = createSeededRandom(runSeed);
        const sentAtMs = simulate({
          routers,
          perSecond,
          durationMs: 20_000,
          hasRequest: createSurges(random),
          areKnown: true,
        });
        const allowed = perSecond * factor * windowMs / 1000 + slack;
        assert.ok(getBusiestWindow(sentAtMs) <= allowed);
      }),
      { numRuns, seed },
    );
  },
);

/** Draws times without requests and times in which all routers have some. */
function createSurges(random: RandomSource): (nowMs: number) => boolean {
  const periodMs = 1000 + random.getInteger(5000);
  const share = random.getFloat();
  return (nowMs) => nowMs % periodMs > periodMs * share;
}

function getBusiestWindow(sentAtMs: readonly number[]): number {
  let first = 0;
  let most = 0;
  sentAtMs.forEach((atMs, index) => {
    while (sentAtMs[first] <= atMs - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

Given(
  "a router that knows a limit of {float} requests a second",
  function (this: World, perSecond: number) {
    this.limit = StatedLimit.create();
    this.limit.record(perSecond, 0);
  },
);

Then(
  "it sends nothing for {int} seconds and something afterwards",
  function (this: World, seconds: number) {
    const sharers = { selfHash: 1, otherHashes: [] };
    const getWaitMs = (nowMs: number) =>
      this.limit.getWaitMs({ nowMs, runnerHash, sharers });
    assert.equal(getWaitMs(seconds * 1000 - 1), Infinity);
    assert.equal(getWaitMs(seconds * 1000), 0);
  },
);
