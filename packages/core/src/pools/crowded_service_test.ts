import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "../hashing/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import {
  chooseRunnerInTime,
  getExpectedWaitMs,
  type PoolRunner,
  RunnerHealth,
  RunnerLoad,
} from "./mod.ts";
import {
  CrowdedReplay,
  type CrowdedReplayResult,
} from "./test_support/replay_crowded_service.ts";

type World = {
  /** Results with refusals and without. */
  crowdedOn: CrowdedReplayResult;
  crowdedOff: CrowdedReplayResult;
  crowdedRunner: PoolRunner;
  crowdedChoice: PoolRunner | undefined;
};

const serviceMs = 60;

When(
  "{int} routers that tell {int} others of loads get {float} times what a service can do, for {int} seconds",
  function (
    this: World,
    routers: number,
    fanout: number,
    demand: number,
    seconds: number,
  ) {
    const load = { routers, fanout, demand, durationMs: seconds * 1000 };
    this.crowdedOn = CrowdedReplay.run({ ...load, refusesLate: true });
    this.crowdedOff = CrowdedReplay.run({ ...load, refusesLate: false });
  },
);

Then(
  "with refusals at least {int} more of 100 are answered in time",
  function (this: World, gain: number) {
    const { crowdedOff: off, crowdedOn: on } = this;
    const gained = (on.inTime - off.inTime) * 100;
    assert.ok(gained >= gain, `${off.inTime} to ${on.inTime}`);
  },
);

Then(
  "at most {int} more of 100 are refused for good",
  function (this: World, more: number) {
    const { crowdedOff: off, crowdedOn: on } = this;
    const lost = (on.refused - off.refused) * 100;
    assert.ok(lost <= more, `${off.refused} to ${on.refused}`);
  },
);

Then(
  "with refusals all but {int} of 100 are answered in time",
  function (this: World, rest: number) {
    assert.ok(this.crowdedOn.inTime * 100 >= 100 - rest);
  },
);

Then(
  "with refusals {int} of 100 or more are not answered in time",
  function (this: World, least: number) {
    assert.ok((1 - this.crowdedOn.inTime) * 100 >= least);
  },
);

Given(
  "a runner with {int} slots that holds {int} requests of 60 ms, at a host that is {float} times as slow",
  function (this: World, slots: number, held: number, slowness: number) {
    const load = RunnerLoad.create();
    load.observe({
      running: Math.min(held, slots),
      waiting: Math.max(0, held - slots),
      slots,
      slowness,
    }, 0);
    this.crowdedRunner = {
      id: "runner",
      idHash: hash32("runner"),
      listedAtMs: 0,
      failureDomain: "a",
      slots,
      load,
      health: RunnerHealth.create(),
    };
  },
);

When(
  "a request with a goal of {int} ms comes",
  function (this: World, goalMs: number) {
    this.crowdedChoice = chooseRunnerInTime([this.crowdedRunner], {
      nowMs: 0,
      random: createSeededRandom(1),
      failureDomain: "a",
      goalMs,
      serviceMs,
    });
  },
);

Then(/^it is (sent|refused)$/, function (this: World, outcome: string) {
  assert.equal(this.crowdedChoice === undefined, outcome === "refused");
});

Then(
  "its expected wait falls from {int} ms to at most {int} ms within {int} ms",
  function (this: World, firstMs: number, lastMs: number, nowMs: number) {
    const runner = this.crowdedRunner;
    assert.equal(getExpectedWaitMs(runner, { nowMs: 0, serviceMs }), firstMs);
    assert.ok(getExpectedWaitMs(runner, { nowMs, serviceMs }) <= lastMs);
  },
);
