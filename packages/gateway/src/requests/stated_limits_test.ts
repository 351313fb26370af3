import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { fetchExplanation } from "../peers/mod.ts";
import {
  type CrashingFleet,
  type FleetAnswer,
  formatAnswer,
  testHost,
} from "../test_support/mod.ts";

type World = {
  crashingFleet: CrashingFleet;
  limitPerSecond: number;
  lookupAnswers: FleetAnswer[];
  /** Time that sending all lookups took. */
  lookupSeconds: number;
};

const timers = RealTimerService.create();

/** Rate above the stated one that is tolerated, and requests besides. */
const tolerance = { factor: 1.5, requests: 5 };

/** Lookups at one gateway until one must reach a runner without a limit. */
const maxLookups = 1000;

Given(
  "runner {int} states a limit of {int} requests a second",
  function (this: World, runner: number, perSecond: number) {
    this.limitPerSecond = perSecond;
    this.crashingFleet.runners.forEach((each, index) => {
      const variation = index + 1 === runner ? { perSecond } : {};
      each.script = ({ attemptId, socket }) =>
        socket.write(formatAnswer(attemptId, "done", variation));
    });
  },
);

When(
  "runner {int} states no limit any more",
  function (this: World, runner: number) {
    this.crashingFleet.runners[runner - 1].script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, "done"));
  },
);

When(
  "{int} lookups are sent to all gateways in turn",
  async function (this: World, count: number) {
    const startedAtMs = performance.now();
    this.lookupAnswers = [];
    for (let sent = 0; sent < count; sent++) {
      this.lookupAnswers.push(await sendLookup(this, sent));
    }
    this.lookupSeconds = (performance.now() - startedAtMs) / 1000;
  },
);

function sendLookup(
  { crashingFleet }: World,
  gatewayIndex: number,
): Promise<FleetAnswer> {
  return crashingFleet.request(gatewayIndex, { path: "/lookup/1" });
}

Then(
  "all lookups are answered at the first attempt",
  function (this: World) {
    for (const { status } of this.lookupAnswers) assert.equal(status, 200);
    const received = this.crashingFleet.runners
      .flatMap(({ requests }) => requests);
    assert.equal(received.length, this.lookupAnswers.length);
  },
);

Then(
  "runner {int} has received no more than its limit allows gateways that know it",
  function (this: World, runner: number) {
    const { gateways, runners } = this.crashingFleet;
    // Each gateway learns the limit by its first request there.
    const received = runners[runner - 1].requests.length - gateways.length;
    const allowed = this.limitPerSecond * this.lookupSeconds *
        tolerance.factor + tolerance.requests;
    assert.ok(received <= allowed, `${received} of ${allowed}`);
  },
);

Then(
  "the first is answered, and of the others no more than the limit allows",
  function (this: World) {
    const [first, ...others] = this.lookupAnswers;
    assert.equal(first.status, 200);
    const answered = others.filter(({ status }) => status === 200).length;
    assert.ok(answered <= this.limitPerSecond * this.lookupSeconds);
  },
);

Then(
  "the rest is refused as not run with a time to come back",
  function (this: World) {
    const rest = this.lookupAnswers.filter(({ status }) => status !== 200);
    for (const { status, text } of rest) {
      assert.equal(status, 503);
      assert.match(text, /"executed":"no"/);
      assert.match(text, /^retry-after: \d/im);
    }
  },
);

Then(
  "lookups at all gateways are answered soon and then without exception",
  async function (this: World) {
    const { gateways } = this.crashingFleet;
    for (let index = 0; index < gateways.length; index++) {
      for (let sent = 0; sent < maxLookups; sent++) {
        if ((await sendLookup(this, index)).status === 200) break;
      }
    }
    for (let sent = 0; sent < 5 * gateways.length; sent++) {
      assert.equal((await sendLookup(this, sent)).status, 200);
    }
  },
);

When(
  "the first gateway has a lookup answered",
  async function (this: World) {
    for (let sent = 0; sent < maxLookups; sent++) {
      if ((await sendLookup(this, 0)).status === 200) return;
    }
    assert.fail("No lookup was answered");
  },
);

Then(
  "all gateways know a limit of {int} requests a second",
  function (this: World, perSecond: number) {
    return waitUntilKnown(this, perSecond);
  },
);

Then("all gateways know of no limit", function (this: World) {
  return waitUntilKnown(this, undefined);
});

/** Waits until all gateways know the same limit of the only runner. */
async function waitUntilKnown(
  { crashingFleet }: World,
  perSecond: number | undefined,
): Promise<void> {
  for (const { gateway } of crashingFleet.gateways) {
    let known: number | undefined;
    do {
      await wait(timers, 1);
      const query = { host: testHost, path: "/lookup/1" };
      const { services } = await fetchExplanation(gateway.peerAddress, query);
      known = services[0].runners[0].limitPerSecond;
    } while (known !== perSecond);
  }
}
