import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { resultCodes } from "@jasminetide/core/results";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  CrashingFleet,
  crashingPart,
  type FleetAnswer,
  formatChunk,
  formatEvents,
  formatHead,
  formatStreamEnd,
  formatStreamStart,
  type ReceivedRequest,
  type Script,
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
  heldRequests: ReceivedRequest[];
  heldAnswers: Promise<FleetAnswer>[];
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
  /^(\d+) sound requests? (?:was|were) answered$/,
  async function (this: World, count: string) {
    for (let sent = 0; sent < Number(count); sent++) {
      const { isWhole } = await this.crashingFleet.request(sent, {
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
    this.heldAnswer = fleet.request(0, { prompt: crashingPrompt });
    await begun;
    await fleet.drain(this.heldRunner);
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
  "requests with a part that crashes runners have crashed {int} or all gateways refuse them",
  async function (this: World, count: number) {
    const fleet = this.crashingFleet;
    let refusedInARow = 0;
    for (let sent = 0; fleet.crashes < count; sent++) {
      assert.ok(sent < maxCrashingRequests, `${fleet.crashes} crashes`);
      const { text } = await fleet.request(sent, { prompt: crashingPrompt });
      refusedInARow = text.includes(refusal) ? refusedInARow + 1 : 0;
      if (refusedInARow >= fleet.gateways.length) return;
    }
  },
);

/** Part of the answer to a request with a quarantined part. */
const refusal = '"code":2007';

/** Requests that suffice to crash five runners, with runners out of reach. */
const maxCrashingRequests = 30;

When(
  "each of {int} gateways has sent one request with the part that is not repeated",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index++) {
      await this.crashingFleet.request(index, {
        prompt: crashingPrompt,
        path: "/summary/1",
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
    world.crashingAnswers.push(await fleet.request(index, { prompt }));
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
  "{int} sound requests with the same other parts are answered at the first attempt",
  async function (this: World, count: number) {
    this.crashingFleet.soundScript = answerWhole;
    await sendAll(this, [...Array(count).keys()], soundPrompt);
    assertServed(this);
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
  assertServed(this);
});

function assertServed(world: World): void {
  const isServed = ({ isWhole, status }: FleetAnswer) =>
    isWhole && status === 200;
  assert.ok(world.crashingAnswers.every(isServed));
  const received = world.crashingFleet.countReceived(soundPart) -
    world.allReceivedBefore;
  assert.equal(received, world.crashingAnswers.length);
}

/** Begins an answer that ends with its connection. */
function formatUnframedStart(attemptId: string): string {
  const head = `${formatHead(attemptId)}Connection: close\r\n\r\n`;
  return head + formatEvents([1]);
}

Given(
  "answers that crash runners come without a length",
  function (this: World) {
    this.crashingFleet.startCrashing = formatUnframedStart;
  },
);

Given("sound answers come without a length", function (this: World) {
  this.crashingFleet.soundScript = ({ attemptId, socket }) =>
    socket.end(formatUnframedStart(attemptId));
});

Then(
  "the crashing part alone is quarantined, at all gateways",
  async function (this: World) {
    const fleet = this.crashingFleet;
    const isExpected = (parts: string[]) => parts.join() === crashingPart;
    while (!(await fleet.listQuarantined()).every(isExpected)) {
      await wait(timers, 10);
    }
  },
);

Given(
  "runners that crash close their port {int} ms after their connections",
  function (this: World, delayMs: number) {
    const fleet = this.crashingFleet;
    fleet.beginCrash = (runner) => void fleet.crashSlowly(runner, delayMs);
  },
);

When(
  /^the gateways have found that the runners (?:live|are gone)$/,
  async function (this: World) {
    await wait(timers, probeMs);
  },
);

/** Longer than it takes to find out whether a runner lives. */
const probeMs = 500;

When(
  "runners that live close their connections under {int} sound requests",
  async function (this: World, count: number) {
    const fleet = this.crashingFleet;
    fleet.soundScript = ({ attemptId, socket }) =>
      socket.write(formatStreamStart(attemptId, [1]), () => socket.destroy());
    for (let sent = 0; sent < count; sent++) {
      const call = { prompt: soundPrompt, path: "/summary/1" };
      await fleet.request(sent, call);
    }
    await wait(timers, probeMs);
  },
);

Then("no gateway knows of a crash", async function (this: World) {
  const counts = await this.crashingFleet.listKnownCrashes();
  assert.ok(counts.every((count) => count === 0), counts.join());
});

const answerWhole: Script = ({ attemptId, socket }) =>
  socket.write(formatStreamStart(attemptId, [1]) + formatStreamEnd([2]));

When(
  /^(\d+) sound requests( of one other gateway)? have begun at runners, of which (\d+) crash(?:es)?$/,
  async function (
    this: World,
    count: string,
    oneGateway: string | null,
    crashCount: string,
  ) {
    const fleet = this.crashingFleet;
    this.heldRequests = [];
    fleet.soundScript = (request) => {
      request.socket.write(formatStreamStart(request.attemptId, [1]));
      this.heldRequests.push(request);
    };
    this.heldAnswers = Array.from(
      { length: Number(count) },
      (_, index) => {
        // Prompts with the same last shared part would go to the same runner.
        const prompt = `${soundPart},kind-${index}`;
        const gateway = oneGateway === null ? index : 1;
        return fleet.request(gateway, { prompt, path: "/summary/1" });
      },
    );
    while (this.heldRequests.length < Number(count)) await wait(timers, 1);
    const busy = fleet.runners.filter(({ requests }) => requests.length > 0);
    assert.ok(busy.length > Number(crashCount), `${busy.length} runners`);
    const crashed = busy.slice(0, Number(crashCount));
    await Promise.all(crashed.map((runner) => fleet.crash(runner)));
  },
);

When(
  "the requests at the other runners are answered",
  async function (this: World) {
    for (const { socket } of this.heldRequests) {
      if (!socket.destroyed) socket.write(formatStreamEnd([2]));
    }
    await Promise.all(this.heldAnswers);
  },
);

When(
  "{int} runners crash one after the other, under requests of {int} other gateways",
  async function (this: World, count: number, gatewayCount: number) {
    const fleet = this.crashingFleet;
    for (let index = 1; index <= count; index++) {
      const begun = new Promise<string>((resolve) => {
        fleet.soundScript = ({ attemptId, socket }) => {
          socket.write(formatStreamStart(attemptId, [1]));
          resolve(attemptId);
        };
      });
      const gateway = 1 + index % gatewayCount;
      const prompt = `${soundPart},kind-${index}`;
      const answer = fleet.request(gateway, { prompt, path: "/summary/1" });
      const attemptId = await begun;
      const runner = fleet.runners.find(({ requests }) =>
        requests.some((request) => request.attemptId === attemptId)
      );
      assert.ok(runner);
      await fleet.crash(runner);
      await answer;
      await waitForCrashes(fleet, index);
    }
  },
);

When(
  "{int} runners crash under requests with the part, each beside a sound request",
  async function (this: World, count: number) {
    const fleet = this.crashingFleet;
    for (let index = 0; index < count; index++) {
      const begun = new Promise<void>((resolve) => {
        fleet.soundScript = ({ attemptId, socket }) => {
          socket.write(formatStreamStart(attemptId, [1]));
          resolve();
        };
      });
      const call = { prompt: soundPrompt, path: "/summary/1" };
      const soundAnswer = fleet.request(index, call);
      await begun;
      // The same last shared part leads to the same runner.
      const answer = await fleet.request(index, { prompt: crashingPrompt });
      if (isQuarantined(answer)) {
        // The other gateways' evidence has come before the last crash.
        assert.equal(index, count - 1);
        return;
      }
      assert.equal((await soundAnswer).isWhole, false);
    }
  },
);

/** Whether a request was refused because a part of its prompt crashes runners. */
function isQuarantined({ status, text }: FleetAnswer): boolean {
  return status === resultCodes.promptQuarantined.status &&
    text.includes(`"code":${resultCodes.promptQuarantined.code},`);
}

/** Waits until all gateways know a number of crashes. */
async function waitForCrashes(
  fleet: CrashingFleet,
  count: number,
): Promise<void> {
  const isKnown = (known: number) => known >= count;
  while (!(await fleet.listKnownCrashes()).every(isKnown)) {
    await wait(timers, 1);
  }
}

When("one request at another runner is answered", function (this: World) {
  const alive = this.heldRequests.find(({ socket }) => !socket.destroyed);
  alive?.socket.write(formatStreamEnd([2]));
});

Then(
  "all gateways know of crashes and each has a part in quarantine",
  async function (this: World) {
    const hasPart = (parts: string[]) => parts.includes(soundPart);
    const fleet = this.crashingFleet;
    while (!(await fleet.listQuarantined()).every(hasPart)) {
      await wait(timers, 1);
    }
  },
);

Then(
  "no gateway has a part in quarantine any more",
  async function (this: World) {
    const fleet = this.crashingFleet;
    while ((await fleet.listQuarantined()).flat().length > 0) {
      await wait(timers, 1);
    }
  },
);

Then(
  "all gateways know of crashes and none has a part in quarantine",
  async function (this: World) {
    const fleet = this.crashingFleet;
    while ((await fleet.listKnownCrashes()).includes(0)) await wait(timers, 1);
    const lists = await fleet.listQuarantined();
    assert.deepEqual(lists.flat(), []);
  },
);

When(
  "sound requests are sent to all gateways until one is answered",
  { timeout: -1 },
  async function (this: World) {
    const fleet = this.crashingFleet;
    fleet.soundScript = answerWhole;
    const endMs = timers.nowMs() + maxTrialMs;
    for (let sent = 0; timers.nowMs() < endMs; sent++) {
      const { status } = await fleet.request(sent, { prompt: soundPrompt });
      if (status === 200) return;
    }
    assert.fail("No request was answered");
  },
);

/** Longer than it takes until a request with sound parts alone is tried. */
const maxTrialMs = 10_000;

When(
  "such requests are sent to all gateways for {int} s",
  { timeout: -1 },
  async function (this: World, seconds: number) {
    const fleet = this.crashingFleet;
    this.receivedBefore = fleet.countReceived(crashingPart);
    this.crashingAnswers = [];
    const endMs = timers.nowMs() + seconds * 1000;
    for (let sent = 0; timers.nowMs() < endMs; sent++) {
      const call = { prompt: crashingPrompt };
      this.crashingAnswers.push(await fleet.request(sent, call));
    }
  },
);

Then(
  "of further ones, all gateways learn that one on trial crashed a runner",
  { timeout: -1 },
  async function (this: World) {
    const fleet = this.crashingFleet;
    const endMs = timers.nowMs() + maxTrialMs;
    for (let sent = 0; timers.nowMs() < endMs; sent++) {
      await fleet.request(sent, { prompt: crashingPrompt });
      if (!(await fleet.listKnownTrialCrashes()).includes(0)) return;
    }
    assert.fail("No trial that crashed a runner is known");
  },
);

Then("each of them reached one runner at most", function (this: World) {
  const reached = this.crashingFleet.countReceived(crashingPart) -
    this.receivedBefore;
  const begun = this.crashingAnswers.filter(({ status }) => status === 200);
  assert.equal(begun.length, reached);
});

Then(
  "refused requests are told to come back in {int} to {int} s",
  async function (this: World, least: number, most: number) {
    await sendAll(this, [...this.crashingFleet.gateways.keys()], soundPrompt);
    for (const { text } of this.crashingAnswers) {
      const seconds = Number(/^retry-after: (\d+)/im.exec(text)?.[1]);
      assert.ok(seconds >= least && seconds <= most, text);
    }
  },
);
