import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  CrashingFleet,
  crashingPart,
  type FleetAnswer,
  formatChunk,
  formatEvents,
  type ReceivedRequest,
  type ScriptedRunner,
} from "../test_support/mod.ts";

type World = {
  crashingFleet: CrashingFleet;
  crashingAnswers: FleetAnswer[];
  /** Requests with the crashing part at runners before the last were sent. */
  receivedBefore: number;
  /** The same for all requests with the sound parts. */
  allReceivedBefore: number;
  heldRunner: ScriptedRunner;
  heldRequest: ReceivedRequest;
  heldAnswer: Promise<FleetAnswer>;
};

const timers = RealTimerService.create();

/** Part that is in all prompts. */
const soundPart = "base";

/** Prompt with the part that crashes runners and others that are sound. */
const crashingPrompt = `${soundPart},${crashingPart},tool`;

/** Prompt with the same sound parts. */
const soundPrompt = `${soundPart},tool`;

Given(
  "{int} gateways and {int} runners",
  async function (this: World, gatewayCount: number, runnerCount: number) {
    this.crashingFleet = await CrashingFleet.create({
      gatewayCount,
      runnerCount,
    });
  },
);

After(async function (this: World) {
  await this.crashingFleet?.[Symbol.asyncDispose]();
});

Given(
  "{int} sound requests were answered",
  async function (this: World, count: number) {
    for (let sent = 0; sent < count; sent++) {
      const { isWhole } = await this.crashingFleet.call(sent, {
        prompt: soundPrompt,
      });
      assert.ok(isWhole);
    }
  },
);

Given(
  "a request with a part that crashes runners has begun at one that goes on",
  async function (this: World) {
    const fleet = this.crashingFleet;
    const { beginCrash } = fleet;
    const begun = new Promise<void>((resolve) => {
      fleet.beginCrash = (runner, request) => {
        this.heldRunner = runner;
        this.heldRequest = request;
        void sendEvents(runner, request);
        resolve();
      };
    });
    this.heldAnswer = fleet.call(0, { prompt: crashingPrompt });
    await begun;
    fleet.beginCrash = beginCrash;
  },
);

/** Sends event after event, so that the runner is not silent. */
async function sendEvents(
  runner: ScriptedRunner,
  { socket }: ReceivedRequest,
): Promise<void> {
  for (let id = 2; !runner.hasCrashed; id++) {
    socket.write(formatChunk(formatEvents([id])));
    await wait(timers, eventPeriodMs);
  }
}

/** Time between two events, below the limit on a runner's silence. */
const eventPeriodMs = 50;

When(
  "requests with a part that crashes runners have crashed {int}, at all gateways",
  async function (this: World, count: number) {
    const fleet = this.crashingFleet;
    for (let sent = 0; fleet.crashes < count; sent++) {
      assert.ok(sent < maxCrashingRequests, `${fleet.crashes} crashes`);
      await fleet.call(sent, { prompt: crashingPrompt });
    }
  },
);

/** Requests that suffice to crash five runners, with runners out of reach. */
const maxCrashingRequests = 30;

When(
  "each of {int} gateways has sent one request with the part that is not repeated",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index++) {
      await this.crashingFleet.call(index, {
        prompt: crashingPrompt,
        isRepeatable: false,
      });
    }
  },
);

When("the runner that went on crashes", async function (this: World) {
  await this.crashingFleet.crash(this.heldRunner);
});

Then(
  "that request has reached 1 runner and its answer is cut",
  async function (this: World) {
    const answer = await this.heldAnswer;
    assert.equal(answer.isWhole, false);
    const { attemptId } = this.heldRequest;
    const reached = this.crashingFleet.runners.filter(({ requests }) =>
      requests.some((request) => request.attemptId === attemptId)
    );
    assert.equal(reached.length, 1);
  },
);

When("another gateway starts", async function (this: World) {
  await this.crashingFleet.addGateway();
});

When("the store does not answer any gateway", function (this: World) {
  this.crashingFleet.setStoreUnavailable();
});

async function sendAll(
  world: World,
  indexes: number[],
  prompt: string,
): Promise<void> {
  const fleet = world.crashingFleet;
  world.receivedBefore = fleet.countReceived(crashingPart);
  world.allReceivedBefore = fleet.countReceived(soundPart);
  world.crashingAnswers = [];
  for (const index of indexes) {
    world.crashingAnswers.push(await fleet.call(index, { prompt }));
  }
}

When(
  "{int} more requests with the part are sent to all gateways",
  async function (this: World, count: number) {
    await sendAll(this, [...Array(count).keys()], crashingPrompt);
  },
);

When(
  "{int} more requests with the part are sent to the last gateway",
  async function (this: World, count: number) {
    const last = this.crashingFleet.gateways.length - 1;
    await sendAll(this, Array(count).fill(last), crashingPrompt);
  },
);

When(
  "{int} sound requests with the same other parts are sent to all gateways",
  async function (this: World, count: number) {
    await sendAll(this, [...Array(count).keys()], soundPrompt);
  },
);

Then(
  "at most {int} of them have reached runners",
  function (this: World, limit: number) {
    const received = this.crashingFleet.countReceived(crashingPart) -
      this.receivedBefore;
    assert.ok(received <= limit, `${received} have reached runners`);
  },
);

Then(
  "the others are refused as not run with result {int}",
  function (this: World, code: number) {
    const refused = this.crashingAnswers.filter(({ status }) => status === 503);
    assert.ok(refused.length >= this.crashingAnswers.length - 3);
    for (const { text } of refused) {
      assert.match(text, /^retry-after: \d+/im);
      assert.match(text, new RegExp(`"code":${code},"executed":"no"`));
    }
  },
);

Then("all are answered at the first attempt", function (this: World) {
  const isServed = ({ isWhole, status }: FleetAnswer) =>
    isWhole && status === 200;
  assert.ok(this.crashingAnswers.every(isServed));
  const received = this.crashingFleet.countReceived(soundPart) -
    this.allReceivedBefore;
  assert.equal(received, this.crashingAnswers.length);
});
