import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "../random/mod.ts";
import { HedgeBudget, type HedgeLimits } from "./mod.ts";
import { findWindowAbove } from "./test_support/find_window_above.ts";

type World = {
  hedgeLimits: HedgeLimits;
  hedgingRouters: { count: number; perSecond: number; seconds: number };
  isRequested: (atMs: number) => boolean;
  getRestartMs: (index: number) => number;
};

Given(
  "{int} routers with {int} requests a second each for {int} s, that hedge whatever they may",
  function (this: World, count: number, perSecond: number, seconds: number) {
    this.hedgingRouters = { count, perSecond, seconds };
    this.isRequested = () => true;
    this.getRestartMs = () => Infinity;
  },
);

When(
  "each is killed once at a time of its own and starts again",
  function (this: World) {
    const random = createSeededRandom(11);
    const { count, seconds } = this.hedgingRouters;
    const restartsMs = Array.from(
      { length: count },
      () => random.getFloat() * seconds * 1000,
    );
    this.getRestartMs = (index) => restartsMs[index];
  },
);

When(
  "requests come only in the first {int} s of each {int} s",
  function (this: World, seconds: number, periodSeconds: number) {
    this.isRequested = (atMs) => atMs % (periodSeconds * 1000) < seconds * 1000;
  },
);

Then(
  "hedges are at most {float} of the requests in every window of {int} s that ends with one",
  function (this: World, maxShare: number, seconds: number) {
    const windowMs = seconds * 1000;
    const { hedgeTimesMs, requestTimesMs } = hedgeAll(this);
    const above = findWindowAbove(hedgeTimesMs, requestTimesMs, {
      maxShare,
      windowMs,
    });
    assert.equal(above, undefined);
  },
);

Then(
  "at least {float} of all requests are hedged",
  function (this: World, share: number) {
    const { hedgeTimesMs, requestTimesMs } = hedgeAll(this);
    const actual = hedgeTimesMs.length / requestTimesMs.length;
    assert.ok(actual >= share, String(actual));
  },
);

/** Lets all routers hedge each request if their budgets allow it. */
function hedgeAll(world: World) {
  const { count, perSecond, seconds } = world.hedgingRouters;
  const budgets = Array.from(
    { length: count },
    () => HedgeBudget.create(world.hedgeLimits),
  );
  const restarted = new Set<number>();
  const hedgeTimesMs: number[] = [];
  const requestTimesMs: number[] = [];
  for (let atMs = 0; atMs < seconds * 1000; atMs += 1000 / perSecond) {
    if (!world.isRequested(atMs)) continue;
    for (let index = 0; index < count; index++) {
      if (atMs >= world.getRestartMs(index) && !restarted.has(index)) {
        restarted.add(index);
        budgets[index] = HedgeBudget.create(world.hedgeLimits);
      }
      const budget = budgets[index];
      budget.recordRequest(atMs);
      requestTimesMs.push(atMs);
      if (!budget.hasLeft(atMs)) continue;
      budget.recordHedge(atMs);
      hedgeTimesMs.push(atMs);
    }
  }
  return { hedgeTimesMs, requestTimesMs };
}
