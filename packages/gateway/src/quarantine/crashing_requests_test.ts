import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  CrashingFleet,
  type FleetAnswer,
  type FleetCall,
  formatAnswer,
  formatStreamStart,
  type ScriptedRunner,
} from "../test_support/mod.ts";

type World = {
  crashingFleet: CrashingFleet;
  crashingCall: FleetCall;
  /** Times that the crashing request had reached runners before the last. */
  arrivedBefore: number;
  crashingAnswers: FleetAnswer[];
  lookupAnswers: FleetAnswer[];
};

const timers = RealTimerService.create();

/** Body by which runners know the request that crashes them. */
const crashingBody = "crash";

/** Body of a sound request that is under way when runners crash. */
const otherBody = "other";

/** Calls that crash runners, by step text. */
const crashingCalls: Record<string, FleetCall> = {
  lookup: { path: "/lookup/1", body: crashingBody },
  payout: { path: "/payout/1", body: crashingBody },
  stream: { path: "/story/1", body: crashingBody },
};

/** Requests that suffice to crash three runners, with runners out of reach. */
const maxCrashingRequests = 30;

/** Answers all requests but those that crash, which end the runner. */
function setScripts({ crashingCall, crashingFleet }: World): void {
  crashingFleet.setScript((request, runner) => {
    const { attemptId, body, socket } = request;
    if (body === otherBody && crashingFleet.holdsOthers) return;
    if (body !== crashingBody) socket.write(formatAnswer(attemptId, "done"));
    else if (crashingCall.path !== crashingCalls.stream.path) {
      void crashingFleet.crash(runner);
    } else {
      const start = formatStreamStart(attemptId, [1]);
      socket.write(start, () => void crashingFleet.crash(runner));
    }
  });
}

function begin(world: World, kind: string): void {
  world.crashingCall = crashingCalls[kind];
  setScripts(world);
}

async function sendCrashing(world: World, gateway: number) {
  return await world.crashingFleet.request(gateway, world.crashingCall);
}

When(
  /^a (lookup|stream) that crashes runners has crashed (\d+) or all gateways refuse it$/,
  async function (this: World, kind: string, count: string) {
    begin(this, kind);
    const fleet = this.crashingFleet;
    let refusedInARow = 0;
    for (let sent = 0; fleet.crashes < Number(count); sent++) {
      assert.ok(sent < maxCrashingRequests, `${fleet.crashes} crashes`);
      const { text } = await sendCrashing(this, sent);
      const isRefused = text.includes('"code":2008');
      refusedInARow = isRefused ? refusedInARow + 1 : 0;
      if (refusedInARow >= fleet.gateways.length) return;
    }
  },
);

When(
  "each of {int} gateways has sent a payout that crashes runners",
  async function (this: World, count: number) {
    begin(this, "payout");
    for (let gateway = 0; gateway < count; gateway++) {
      await sendCrashing(this, gateway);
    }
  },
);

async function sendMore(world: World, gateways: number[]): Promise<void> {
  world.arrivedBefore = countArrivals(world);
  world.crashingAnswers = [];
  for (const gateway of gateways) {
    world.crashingAnswers.push(await sendCrashing(world, gateway));
  }
}

function countArrivals({ crashingFleet }: World): number {
  return crashingFleet.runners.flatMap(({ requests }) => requests)
    .filter(({ body }) => body === crashingBody).length;
}

When(
  "it is sent {int} more times, to all gateways",
  async function (this: World, count: number) {
    await sendMore(this, [...Array(count).keys()]);
  },
);

When(
  "it is sent {int} more times, to the last gateway",
  async function (this: World, count: number) {
    const last = this.crashingFleet.gateways.length - 1;
    await sendMore(this, Array(count).fill(last));
  },
);

Then(
  "at most {int} of those have reached runners",
  function (this: World, limit: number) {
    const arrived = countArrivals(this) - this.arrivedBefore;
    assert.ok(arrived <= limit, `${arrived} have reached runners`);
  },
);

async function sendLookups(
  world: World,
  count: number,
  formatBody: (index: number) => string,
): Promise<void> {
  world.lookupAnswers = [];
  for (let sent = 0; sent < count; sent++) {
    const call = { path: "/lookup/1", body: formatBody(sent) };
    world.lookupAnswers.push(await world.crashingFleet.request(sent, call));
  }
}

When(
  "{int} lookups with other bodies are sent to all gateways",
  async function (this: World, count: number) {
    await sendLookups(this, count, (index) => `body ${index}`);
  },
);

When(
  "the other lookup is sent {int} times, to all gateways",
  async function (this: World, count: number) {
    this.crashingFleet.holdsOthers = false;
    await sendLookups(this, count, () => otherBody);
  },
);

Given(
  "the same lookup was answered {int} times",
  async function (this: World, count: number) {
    begin(this, "lookup");
    await sendLookups(this, count, () => otherBody);
  },
);

Then("all lookups are answered", function (this: World) {
  for (const { status } of this.lookupAnswers) assert.equal(status, 200);
});

/** Sends the other lookup until it is under way at a runner. */
async function holdOther(
  { crashingFleet }: World,
  gateway: number,
): Promise<{ runner: ScriptedRunner; answer: Promise<FleetAnswer> }> {
  const before = new Map(
    crashingFleet.runners.map((each) => [each, each.requests.length]),
  );
  const call = { path: "/lookup/1", body: otherBody };
  const answer = crashingFleet.request(gateway, call);
  const hasRequest = (each: ScriptedRunner) =>
    each.requests.length > (before.get(each) ?? 0);
  while (!crashingFleet.runners.some(hasRequest)) await wait(timers, 1);
  const runner = crashingFleet.runners.find(hasRequest);
  assert.ok(runner);
  return { runner, answer };
}

When(
  "{int} runners crash behind proxies that still accept connections",
  async function (this: World, count: number) {
    begin(this, "lookup");
    const fleet = this.crashingFleet;
    for (const runner of fleet.runners.slice(0, count)) {
      runner.crashBehindProxy();
    }
    // Each gateway finds out that they are gone under requests of others.
    for (let round = 0; round < 2; round++) {
      await sendLookups(
        this,
        4 * fleet.gateways.length,
        (index) => `round ${round} body ${index}`,
      );
    }
    await wait(timers, probeMs);
  },
);

When(
  "all runners are listed while only proxies accept connections",
  async function (this: World) {
    begin(this, "lookup");
    const fleet = this.crashingFleet;
    for (const runner of fleet.runners) runner.crashBehindProxy();
    await sendLookups(
      this,
      8 * fleet.gateways.length,
      (index) => `early body ${index}`,
    );
    await wait(timers, probeMs);
  },
);

When("they have started", function (this: World) {
  for (const runner of this.crashingFleet.runners) runner.startBehindProxy();
});

/** Longer than it takes to find out whether a runner lives. */
const probeMs = 500;

Then(
  "no lookup is refused with result {int}",
  function (this: World, code: number) {
    for (const { text } of this.lookupAnswers) {
      assert.doesNotMatch(text, new RegExp(`"code":${code}`));
    }
  },
);

When(
  "{int} runners crash while that lookup is under way at each",
  async function (this: World, count: number) {
    this.crashingFleet.holdsOthers = true;
    for (let index = 0; index < count; index++) {
      const { runner, answer } = await holdOther(this, index);
      this.crashingFleet.holdsOthers = index < count - 1;
      await this.crashingFleet.crash(runner);
      void answer;
    }
  },
);

When(
  "a lookup that crashes runners has crashed {int} with the same other lookup under way at each",
  async function (this: World, count: number) {
    begin(this, "lookup");
    const fleet = this.crashingFleet;
    fleet.holdsOthers = true;
    for (let sent = 0; fleet.crashes < count; sent++) {
      const held = fleet.gateways.map((_, gateway) => holdOther(this, gateway));
      await Promise.all(held);
      await sendCrashing(this, sent);
    }
  },
);
