import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "../hashing/mod.ts";
import { type PoolRunner, RunnerHealth, RunnerLoad } from "../pools/mod.ts";
import { type HedgeLimits, HedgePolicy, selectHedgeRunners } from "./mod.ts";

type World = {
  hedgeLimits: HedgeLimits;
  hedgePolicy: HedgePolicy;
  policyNowMs: number;
  hasRetriesToSpare: boolean;
  timerDelayMs: number;
  hedgeRunners: PoolRunner[];
};

Given(
  "hedges of at most {float} of the requests in {int} s, after quantile {float}",
  function (this: World, maxShare: number, seconds: number, quantile: number) {
    this.hedgeLimits = { maxShare, quantile, windowMs: seconds * 1000 };
    this.hedgePolicy = HedgePolicy.create(this.hedgeLimits);
    this.policyNowMs = 1_000_000;
    this.hasRetriesToSpare = true;
    this.timerDelayMs = 0;
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
