import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { getHostLimits, type HostLimits } from "../host_limits.ts";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  isWhole,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  type TestGatewayOptions,
  testHeaders,
  testHost,
} from "../test_support/mod.ts";

type World = {
  guarded: TestGateway;
  guardedRunner: ScriptedRunner;
  runningAtOnce: number;
  callers: RawCaller[];
  hostLimits: HostLimits;
};

const timers = RealTimerService.create();

async function startGuarded(
  world: World,
  options: TestGatewayOptions & { idleTimeoutMs?: number } = {},
): Promise<void> {
  let running = 0;
  world.runningAtOnce = 0;
  world.callers = [];
  world.guardedRunner = await ScriptedRunner.create(({ attemptId, socket }) => {
    running += 1;
    world.runningAtOnce = Math.max(world.runningAtOnce, running);
    setImmediate(() => {
      running -= 1;
      socket.write(formatAnswer(attemptId, `\n${attemptId}`));
    });
  });
  world.guarded = await startTestGateway(options);
  const { declarations, gateway, runners } = world.guarded;
  const declaration = createDeclaration(1);
  const { idleTimeoutMs = declaration.callerLimits.idleTimeoutMs } = options;
  declarations.put("main", {
    ...declaration,
    callerLimits: { ...declaration.callerLimits, idleTimeoutMs },
  });
  const { address } = world.guardedRunner;
  runners.put("r", createRunnerRecord("r", address));
  while (!gateway.isReady) await wait(timers, 1);
}

async function connectCaller(world: World): Promise<RawCaller> {
  const caller = await RawCaller.create(world.guarded.gateway.callerAddress);
  world.callers.push(caller);
  return caller;
}

After(async function (this: World) {
  if (this.guarded === undefined) return;
  for (const caller of this.callers) caller[Symbol.dispose]();
  await this.guarded.gateway[Symbol.asyncDispose]();
  await this.guardedRunner[Symbol.asyncDispose]();
});

Given("a gateway for callers and its runner", async function (this: World) {
  await startGuarded(this);
});

Given(
  "a gateway for callers whose bodies may pause for {int} ms",
  async function (this: World, idleTimeoutMs: number) {
    await startGuarded(this, { idleTimeoutMs });
  },
);

Given(
  "a gateway for callers with room for {int} connections",
  async function (this: World, count: number) {
    await startGuarded(this, { host: { maxDescriptors: count * 4 } });
  },
);

When(
  "a caller sends {int} pipelined lookups at once",
  async function (this: World, count: number) {
    const caller = await connectCaller(this);
    const requests = Array.from(
      { length: count },
      (_, index) =>
        `GET /lookup/1 HTTP/1.1\r\nHost: ${testHost}\r\n` +
        `${testHeaders.attempt}: attempt-${index}.\r\n\r\n`,
    );
    caller.socket.write(requests.join(""));
    await caller.waitUntil(({ text }) =>
      text.endsWith(`attempt-${count - 1}.`)
    );
  },
);

Then(
  "all are answered in order, and the runner never had two at a time",
  function (this: World) {
    const bodies = this.callers[0].text.match(/^attempt-\d+\./gm) ?? [];
    const numbers = bodies.map((body) => Number(body.slice(8, -1)));
    assert.deepEqual(numbers, [...Array(500).keys()]);
    assert.equal(this.runningAtOnce, 1);
  },
);

When(
  "a part of a body is sent and nothing more",
  async function (this: World) {
    const caller = await connectCaller(this);
    const headers = { "content-length": "100" };
    const path = "/payout/1";
    caller.send({ path, attemptId: "short", headers, body: "part" });
    await caller.waitUntil(isWhole);
  },
);

When(
  "a caller announces a body of {int} bytes and sends none",
  async function (this: World, size: number) {
    const caller = await connectCaller(this);
    const headers = { "content-length": String(size) };
    caller.send({ path: "/lookup/1", attemptId: "large", headers });
    await caller.waitUntil(isWhole);
  },
);

Then(
  "it gets status {int} and its connection is closed",
  async function (this: World, status: number) {
    const [caller] = this.callers;
    assert.match(caller.text, new RegExp(`^HTTP/1.1 ${status} `));
    await caller.waitUntil(({ hasEnded }) => hasEnded);
  },
);

Then("the runner got no request", function (this: World) {
  assert.equal(this.guardedRunner.requests.length, 0);
});

When(
  "{int} callers connect and send nothing, and then one sends a lookup",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index += 1) await connectCaller(this);
    const caller = await connectCaller(this);
    caller.send({ path: "/lookup/1", attemptId: "late", body: "a" });
  },
);

Then("the lookup is answered", async function (this: World) {
  const caller = this.callers.at(-1)!;
  await caller.waitUntil(isWhole);
  assert.match(caller.text, /^HTTP\/1.1 200 /);
});

Then(
  "the one that connected first is closed, and counted as displaced",
  async function (this: World) {
    await this.callers[0].waitUntil(({ hasEnded }) => hasEnded);
    const others = this.callers.slice(1).filter(({ hasEnded }) => hasEnded);
    assert.equal(others.length, 0);
    const { peerAddress } = this.guarded.gateway;
    const answer = await fetch(`http://${peerAddress}/metrics`);
    const line = "jasminetide_connections_closed_displaced_total 1";
    assert.ok((await answer.text()).split("\n").includes(line));
  },
);

When(
  "a host has {int} MB and {int} descriptors",
  function (this: World, memoryMb: number, maxDescriptors: number) {
    const host = { cores: 1, coreSpeed: 1, linkMbps: 1000 };
    this.hostLimits = getHostLimits({ ...host, memoryMb, maxDescriptors });
  },
);

Then(
  "it has room for {int} connections of callers, and {int} MB for their bodies",
  function (this: World, callers: number, budgetMb: number) {
    const { bodyBytes, callerConnections } = this.hostLimits;
    assert.equal(callerConnections, callers);
    assert.equal(Math.floor(bodyBytes / 1024 / 1024), budgetMb);
  },
);
