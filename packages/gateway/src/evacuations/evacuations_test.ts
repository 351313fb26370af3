import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  type TestSourceCopy,
} from "../test_support/mod.ts";
import type { Evacuation } from "./mod.ts";

type World = {
  evacuating: TestGateway;
  turnedAway: TestGateway | undefined;
  evacuatedRunners: Map<string, ScriptedRunner>;
  evacuationCallers: RawCaller[];
  /** Requests that wait for their answers. */
  heldAnswers: { attemptId: string; socket: Socket }[];
  copiedEvacuations: TestSourceCopy<Evacuation>;
  /** How far the gateway's clock was set forward. */
  shiftMs: number;
};

const timers = RealTimerService.create();

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await wait(timers, 1);
}

async function addRunner(
  world: World,
  { domain, id }: { domain: string; id: string },
): Promise<void> {
  const runner = await ScriptedRunner.create(({ attemptId, socket }) =>
    socket.write(formatAnswer(attemptId, id))
  );
  world.evacuatedRunners.set(id, runner);
  world.evacuating.runners.put(id, {
    ...createRunnerRecord(id, runner.address),
    failureDomain: domain,
  });
}

Given(
  "a gateway that follows evacuations, and runners {string} in {string} and {string} in {string}",
  async function (
    this: World,
    first: string,
    firstDomain: string,
    second: string,
    secondDomain: string,
  ) {
    this.evacuatedRunners = new Map();
    this.evacuationCallers = [];
    this.evacuating = await startTestGateway({ hasEvacuations: true });
    this.evacuating.declarations.put("main", createDeclaration(1));
    await addRunner(this, { id: first, domain: firstDomain });
    await addRunner(this, { id: second, domain: secondDomain });
    const { gateway } = this.evacuating;
    await waitUntil(() => gateway.isReady && gateway.runnerCount === 2);
  },
);

/** Timers of which the steady clock can be set forward. */
function createShiftedTimers(world: World): TimerService {
  return {
    nowMs: () => timers.nowMs() + world.shiftMs,
    wallMs: () => timers.wallMs() + world.shiftMs,
    subscribe: (periodMs, handler) => timers.subscribe(periodMs, handler),
    schedule: (delayMs, handler) => timers.schedule(delayMs, handler),
  };
}

/** Starts a gateway whose last resort is 0.4 of the limit for evacuations. */
async function startWithLastResort(world: World): Promise<void> {
  world.shiftMs = 0;
  world.evacuatedRunners = new Map();
  world.evacuationCallers = [];
  world.evacuating = await startTestGateway({
    hasEvacuations: true,
    lastResortShare: 0.4,
    timers: createShiftedTimers(world),
    isStoreUnavailable: true,
  });
  world.evacuating.declarations.put("main", createDeclaration(1));
}

async function makeReady(world: World): Promise<void> {
  const { declarations, evacuations, gateway, runners } = world.evacuating;
  for (const source of [declarations, evacuations, runners]) {
    source.setUnavailable(false);
  }
  await waitUntil(() => gateway.isReady && gateway.runnerCount === 1);
}

Given(
  "a gateway with a last resort of 2000 ms, and runner {string} in {string}",
  async function (this: World, id: string, domain: string) {
    await startWithLastResort(this);
    await addRunner(this, { id, domain });
    await makeReady(this);
  },
);

Given(
  "a gateway with a last resort of 2000 ms, which starts while {string} is evacuated, and runner {string} in {string}",
  async function (this: World, evacuated: string, id: string, domain: string) {
    await startWithLastResort(this);
    this.evacuating.evacuations.put(evacuated, { failureDomain: evacuated });
    await addRunner(this, { id, domain });
    await makeReady(this);
  },
);

When("{int} ms pass at the gateway", function (this: World, ms: number) {
  this.shiftMs += ms;
});

When(
  "runner {string} in {string} is added",
  async function (this: World, id: string, domain: string) {
    await addRunner(this, { id, domain });
    const { gateway } = this.evacuating;
    await waitUntil(() => gateway.runnerCount === 2);
  },
);

Given(
  "another one with it as a seed, which the store turns away",
  async function (this: World) {
    this.turnedAway = await startTestGateway({
      name: "gateway-2",
      hasEvacuations: true,
      isStoreUnavailable: true,
      seedAddresses: [this.evacuating.gateway.peerAddress],
    });
    await waitUntil(() => this.turnedAway?.gateway.isReady === true);
  },
);

Given(
  "a gateway that follows evacuations, which it cannot read",
  async function (this: World) {
    this.evacuating = await startTestGateway({
      hasEvacuations: true,
      isStoreUnavailable: true,
    });
    const { declarations, gateway, runners } = this.evacuating;
    declarations.put("main", createDeclaration(1));
    declarations.setUnavailable(false);
    runners.setUnavailable(false);
    await waitUntil(() => gateway.declarationVersion === 1);
  },
);

Given(
  "a gateway that does not follow evacuations",
  async function (this: World) {
    this.evacuating = await startTestGateway();
    this.evacuating.declarations.put("main", createDeclaration(1));
  },
);

Given(
  "cold runners tolerate {int} requests a second",
  async function (this: World, coldPerSecond: number) {
    const { declarations, gateway, peers } = this.evacuating;
    peers.put("gateway-1", { address: "127.0.0.1:1", capacity: 1 });
    await waitUntil(() => peers.isCaughtUp);
    declarations.put("main", {
      ...createDeclaration(2),
      services: [{ name: "service", coldStartMs: 30_000, coldPerSecond }],
    });
    await waitUntil(() => gateway.declarationVersion === 2);
  },
);

Given(
  "the list of gateways has another one only",
  async function (this: World) {
    const { peers } = this.evacuating;
    peers.put("gateway-2", { address: "127.0.0.1:1", capacity: 1 });
    peers.put("gateway-1", undefined);
    await waitUntil(() => peers.isCaughtUp);
  },
);

Given("their answers wait", function (this: World) {
  this.heldAnswers = [];
  for (const runner of this.evacuatedRunners.values()) {
    runner.script = (request) => this.heldAnswers.push(request);
  }
});

After(async function (this: World) {
  for (const caller of this.evacuationCallers ?? []) caller[Symbol.dispose]();
  for (const runner of this.evacuatedRunners?.values() ?? []) {
    await runner[Symbol.asyncDispose]();
  }
  await this.evacuating?.gateway[Symbol.asyncDispose]();
  await this.turnedAway?.gateway[Symbol.asyncDispose]();
});

When("{string} is evacuated", async function (this: World, domain: string) {
  const { evacuations } = this.evacuating;
  evacuations.put(domain, { failureDomain: domain });
  await waitUntil(() => evacuations.isCaughtUp);
});

When(
  "the evacuation of {string} ends",
  async function (this: World, domain: string) {
    const { evacuations } = this.evacuating;
    evacuations.put(domain, undefined);
    await waitUntil(() => evacuations.isCaughtUp);
  },
);

When("the evacuations are copied", function (this: World) {
  this.copiedEvacuations = this.evacuating.evacuations.copy();
});

When(
  "the evacuations are restored from the copy",
  async function (this: World) {
    const { evacuations } = this.evacuating;
    evacuations.restore(this.copiedEvacuations);
    await waitUntil(() => evacuations.isCaughtUp);
  },
);

async function sendLookup(world: World, number: number): Promise<RawCaller> {
  const { callerAddress } = world.evacuating.gateway;
  const caller = await RawCaller.create(callerAddress);
  world.evacuationCallers.push(caller);
  caller.send({ path: "/lookup/1", attemptId: `evacuated-${number}` });
  return caller;
}

When(
  "{int} lookups are sent to it",
  async function (this: World, count: number) {
    this.evacuationCallers = [];
    for (const runner of this.evacuatedRunners.values()) {
      runner.requests.length = 0;
    }
    for (let number = 0; number < count; number++) {
      const caller = await sendLookup(this, number);
      await waitUntil(() => /\r\n\r\n./.test(caller.text));
    }
  },
);

When(
  "{int} lookups have reached them",
  async function (this: World, count: number) {
    for (let number = 0; number < count; number++) {
      await sendLookup(this, number);
    }
    await waitUntil(() => this.heldAnswers.length === count);
  },
);

When("their answers are sent", function (this: World) {
  for (const { attemptId, socket } of this.heldAnswers) {
    socket.write(formatAnswer(attemptId, "done"));
  }
});

Then("both lookups are answered", async function (this: World) {
  await waitUntil(() =>
    this.evacuationCallers.every(({ text }) => text.endsWith("done"))
  );
  assert.equal(this.evacuationCallers.length, 2);
});

/** Lists the runners that have answered the last lookups. */
function listAnswering(world: World): string[] {
  const ids = world.evacuationCallers.map(({ text }) =>
    text.slice(text.indexOf("\r\n\r\n") + 4)
  );
  return [...new Set(ids)].sort();
}

Then("they are answered by {string} only", function (this: World, id: string) {
  assert.deepEqual(listAnswering(this), [id]);
});

Then(
  "they are answered by {string} and {string}",
  function (this: World, first: string, second: string) {
    assert.deepEqual(listAnswering(this), [first, second]);
  },
);

Then(
  "they are refused as not run, with a time to come back",
  function (this: World) {
    for (const { text } of this.evacuationCallers) {
      assert.match(text, /^HTTP\/1\.1 503 /);
      assert.match(text, /retry-after: [\d.]+/i);
    }
  },
);

Then("no runner has seen one of them", function (this: World) {
  for (const { requests } of this.evacuatedRunners.values()) {
    assert.equal(requests.length, 0);
  }
});

Then(
  "{string} has seen at most {int} of them",
  function (this: World, id: string, limit: number) {
    const count = this.evacuatedRunners.get(id)?.requests.length ?? 0;
    assert.ok(count > 0 && count <= limit, String(count));
  },
);

Then(
  "the other one knows that {string} is evacuated",
  async function (this: World, domain: string) {
    await waitUntil(() =>
      this.turnedAway?.gateway.evacuatedDomains.has(domain) === true
    );
  },
);

Then("it is not ready", function (this: World) {
  assert.equal(this.evacuating.gateway.isReady, false);
});

When("it can read the evacuations", function (this: World) {
  this.evacuating.evacuations.setUnavailable(false);
});

Then("it is ready", async function (this: World) {
  await waitUntil(() => this.evacuating.gateway.isReady);
});

Then("it is ready and has not read any", async function (this: World) {
  await waitUntil(() => this.evacuating.gateway.isReady);
  assert.equal(this.evacuating.evacuations.calls, 0);
});
