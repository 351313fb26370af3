import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "../hashing/mod.ts";
import { type PoolRunner, RunnerHealth, RunnerLoad } from "../pools/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import {
  HedgeBudget,
  type HedgeLimits,
  HedgePolicy,
  selectHedgeRunners,
} from "./mod.ts";
import { findWindowAbove } from "./test_support/find_window_above.ts";

type World = {
  hedgeLimits: HedgeLimits;
  hedgePolicy: HedgePolicy;
  policyNowMs: number;
  hasRetriesToSpare: boolean;
  timerDelayMs: number;
  hedgeRunners: PoolRunner[];
  hedgingRouters: { count: number; perSecond: number; seconds: number };
  isRequested: (atMs: number) => boolean;
  getRestartMs: (index: number) => number;
};

Given(
  "hedges of at most {float} of the requests in {int} s, after quantile {float}",
  function (this: World, maxShare: number, seconds: number, quantile: number) {
    this.hedgeLimits = { maxShare, quantile, windowMs: seconds * 1000 };
    this.hedgePolicy = HedgePolicy.create(this.hedgeLimits);
    this.policyNowMs = 1_000_000;
    this.hasRetriesToSpare = true;
    this.timerDelayMs = 0;
    this.isRequested = () => true;
    this.getRestartMs = () => Infinity;
  },
);

When(
  "route {string} was answered {int} times within {int} to {int} ms",
  function (
    this: World,
    route: string,
    count: number,
    fromMs: number,
    toMs: number,
  ) {
    const nowMs = this.policyNowMs;
    for (let index = 0; index < count; index++) {
      const durationMs = fromMs + (toMs - fromMs) * index / count;
      this.hedgePolicy.recordAnswer(route, { durationMs, nowMs });
    }
  },
);

Then(
  "requests of {string} are late after {int} to {int} ms",
  function (this: World, route: string, fromMs: number, toMs: number) {
    const delayMs = this.hedgePolicy.getDelayMs(route, this.policyNowMs);
    assert.ok(delayMs !== undefined && delayMs >= fromMs && delayMs <= toMs);
  },
);

Then("no request of {string} is late", function (this: World, route: string) {
  const delayMs = this.hedgePolicy.getDelayMs(route, this.policyNowMs);
  assert.equal(delayMs, undefined);
});

When("{int} s pass at the policy", function (this: World, seconds: number) {
  this.policyNowMs += seconds * 1000;
});

Given(
  "{int} requests, {int} of them hedged",
  function (this: World, requests: number, hedges: number) {
    for (let index = 0; index < requests; index++) {
      this.hedgePolicy.recordRequest(this.policyNowMs);
    }
    for (let index = 0; index < hedges; index++) {
      this.hedgePolicy.recordHedge(this.policyNowMs);
    }
  },
);

When("nothing else happens", () => {});

When("another request is hedged", function (this: World) {
  this.hedgePolicy.recordHedge(this.policyNowMs);
});

When(
  "a runner refused a request {int} ms ago",
  function (this: World, agoMs: number) {
    this.hedgePolicy.recordRefusal(this.policyNowMs - agoMs);
  },
);

When("less than half of the retry budget is left", function (this: World) {
  this.hasRetriesToSpare = false;
});

When("the timer fires {int} ms late", function (this: World, delayMs: number) {
  this.timerDelayMs = delayMs;
});

When(
  "the limit becomes {float} of the requests",
  function (this: World, maxShare: number) {
    this.hedgePolicy.setLimits({ ...this.hedgeLimits, maxShare });
  },
);

Then(/^a late request gets (.+)$/, function (this: World, outcome: string) {
  const refusal = this.hedgePolicy.findRefusal({
    nowMs: this.policyNowMs,
    hasRetriesToSpare: this.hasRetriesToSpare,
    timerDelayMs: this.timerDelayMs,
  });
  assert.equal(refusal ?? "a hedge", outcome);
});

Given(
  "runners with {int} slots in failure domains {string}, the first of which is late",
  function (this: World, slots: number, domains: string) {
    this.hedgeRunners = domains.split(" ").map((failureDomain, index) => ({
      id: `runner ${index + 1}`,
      idHash: hash32(`runner ${index + 1}`),
      listedAtMs: 0,
      failureDomain,
      slots,
      load: RunnerLoad.create(),
      health: RunnerHealth.create(),
    }));
  },
);

When("nothing happens to the runners", () => {});

When(
  /^runners? ([\d ]+) reports? a queue$/,
  function (this: World, numbers: string) {
    for (const number of numbers.split(" ")) {
      const { load, slots } = this.hedgeRunners[Number(number) - 1];
      // The report says nothing of the load, to test the queue alone.
      load.observe({ running: 0, waiting: 1, slots }, this.policyNowMs);
    }
  },
);

When(
  /^runners? ([\d ]+) (?:is|are) avoided for losses$/,
  function (this: World, numbers: string) {
    for (const number of numbers.split(" ")) {
      const { health } = this.hedgeRunners[Number(number) - 1];
      health.observe("lost", this.policyNowMs);
      health.observe("lost", this.policyNowMs);
    }
  },
);

When(
  "runner {int} fails {int} requests",
  function (this: World, number: number, count: number) {
    const { health } = this.hedgeRunners[number - 1];
    for (let index = 0; index < count; index++) {
      health.observe("failed", this.policyNowMs);
    }
  },
);

When(
  /^runners? ([\d ]+) holds? (\d+) requests$/,
  function (this: World, numbers: string, held: string) {
    for (const number of numbers.split(" ")) {
      this.hedgeRunners[Number(number) - 1].load.ownOutstanding = Number(held);
    }
  },
);

When(
  /^runners ([\d ]+) leave$/,
  function (this: World, numbers: string) {
    const ids = numbers.split(" ").map((number) => `runner ${number}`);
    this.hedgeRunners = this.hedgeRunners.filter(({ id }) => !ids.includes(id));
  },
);

Then(/^a hedge may go to (.+)$/, function (this: World, expected: string) {
  const [late] = this.hedgeRunners;
  const nowMs = this.policyNowMs;
  const selection = selectHedgeRunners(this.hedgeRunners, { late, nowMs });
  const actual = selection.type === "none"
    ? `none: ${selection.reason}`
    : selection.runners.map(({ id }) => id.split(" ")[1]).join(" ");
  assert.equal(actual, expected);
});

Given(
  "{int} routers with {int} requests a second each for {int} s, that hedge whatever they may",
  function (this: World, count: number, perSecond: number, seconds: number) {
    this.hedgingRouters = { count, perSecond, seconds };
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
