import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  createTestSettings,
  formatAnswer,
  formatHead,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
} from "./test_support/mod.ts";

type World = {
  stoppingGateway: TestGateway;
  streamRunner: ScriptedRunner;
  streamCallers: RawCaller[];
  idleCaller: RawCaller;
  /** Caller of a request that the stop concerns. */
  lateCaller: RawCaller;
  /** Size of the answer that it gets if it reads slowly. */
  slowAnswerBytes: number;
  stopped: Promise<void>;
};

const timers = RealTimerService.create();

Given(
  "a gateway with two callers whose streams have begun",
  async function (this: World) {
    this.streamRunner = await ScriptedRunner.create(({ attemptId, socket }) =>
      socket.write(
        `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n` +
          "d\r\nid: 1\ndata:\n\n\r\n",
      )
    );
    this.stoppingGateway = await startTestGateway();
    const { declarations, gateway, runners } = this.stoppingGateway;
    declarations.put("main", createDeclaration(1));
    runners.put("r", createRunnerRecord("r", this.streamRunner.address));
    while (!gateway.isReady) await wait(timers, 1);
    this.streamCallers = [];
    for (const attemptId of ["a", "b"]) {
      const caller = await RawCaller.create(gateway.callerAddress);
      this.streamCallers.push(caller);
      caller.send({ path: "/summary/1", attemptId });
      await caller.waitUntil(({ text }) => text.includes("id: 1"));
    }
  },
);

Given("a caller with an idle connection", async function (this: World) {
  const { callerAddress } = this.stoppingGateway.gateway;
  this.idleCaller = await RawCaller.create(callerAddress);
  this.idleCaller.send({ path: "/nowhere/", attemptId: "c" });
  await this.idleCaller.waitUntil(({ text }) => text.includes("No such route"));
});

After(async function (this: World) {
  for (const caller of this.streamCallers ?? []) caller[Symbol.dispose]();
  this.idleCaller?.[Symbol.dispose]();
  this.lateCaller?.[Symbol.dispose]();
  await this.streamRunner?.[Symbol.asyncDispose]();
});

When("the gateway starts to stop", function (this: World) {
  this.stopped = this.stoppingGateway.gateway[Symbol.asyncDispose]();
});

function endStream(world: World, index: number): void {
  world.streamRunner.requests[index].socket.write("0\r\n\r\n");
}

When("the runner ends the first stream", function (this: World) {
  endStream(this, 0);
});

When("the runner ends the second stream", function (this: World) {
  endStream(this, 1);
});

Then("the idle connection is closed", async function (this: World) {
  await this.idleCaller.waitUntil(({ hasEnded }) => hasEnded);
  assert.ok(this.streamCallers.every(({ hasEnded }) => !hasEnded));
});

Then("the gateway is not ready", function (this: World) {
  assert.equal(this.stoppingGateway.gateway.isReady, false);
});

async function waitForStreamEnd(caller: RawCaller): Promise<void> {
  await caller.waitUntil(({ text }) => text.endsWith("0\r\n\r\n"));
}

Then(
  "the first caller has the whole stream and its connection is closed",
  async function (this: World) {
    const [first, second] = this.streamCallers;
    await waitForStreamEnd(first);
    await first.waitUntil(({ hasEnded }) => hasEnded);
    assert.equal(second.hasEnded, false);
  },
);

Then("the second caller has the whole stream", async function (this: World) {
  await waitForStreamEnd(this.streamCallers[1]);
});

Then("the gateway has stopped", async function (this: World) {
  await this.stopped;
});

When(
  "the runner ends the first stream and its caller sends another request",
  async function (this: World) {
    const [first] = this.streamCallers;
    // Longer than `noticeMs` (1 ms), in which requests are still accepted.
    await wait(timers, 20);
    endStream(this, 0);
    await waitForStreamEnd(first);
    first.text = "";
    first.send({ path: "/summary/2", attemptId: "late" });
  },
);

Then(
  "it is refused as not run or not read and the connection is closed",
  async function (this: World) {
    const [first] = this.streamCallers;
    await first.waitUntil(({ hasEnded }) => hasEnded);
    if (first.text !== "") {
      assert.match(first.text, /^HTTP\/1.1 503 .*"executed":"no"/s);
    }
  },
);

Then("the runner has received no third request", function (this: World) {
  assert.equal(this.streamRunner.requests.length, 2);
});

/** Connects another caller, whose request the stop concerns. */
async function connectLateCaller(world: World): Promise<RawCaller> {
  const { callerAddress } = world.stoppingGateway.gateway;
  world.lateCaller = await RawCaller.create(callerAddress);
  return world.lateCaller;
}

Given(
  "a caller that has sent a request but for the end of its body",
  async function (this: World) {
    const caller = await connectLateCaller(this);
    const headers = { "content-length": "8" };
    caller.send({
      path: "/payout/1",
      attemptId: "late",
      body: "body",
      headers,
    });
    await wait(timers, 20);
  },
);

When("the end of its body arrives", async function (this: World) {
  // Longer than `noticeMs` (1 ms), in which requests are still accepted.
  await wait(timers, 20);
  this.lateCaller.socket.write("ends");
});

Then("it is refused as not run", async function (this: World) {
  await this.lateCaller.waitUntil(({ hasEnded }) => hasEnded);
  assert.match(this.lateCaller.text, /^HTTP\/1.1 503 .*"executed":"no"/s);
});

Given(
  "a caller whose request runs without end",
  async function (this: World) {
    this.streamRunner.script = () => {};
    const received = this.streamRunner.waitForRequest();
    const caller = await connectLateCaller(this);
    caller.send({ path: "/payout/1", attemptId: "long" });
    await received;
  },
);

When(
  "the gateway starts to stop with a grace of {int} s",
  function (this: World, graceSeconds: number) {
    const settings = createTestSettings({});
    const { gateway } = this.stoppingGateway;
    gateway.applySettings({ ...settings, stop: { noticeMs: 1, graceSeconds } });
    this.stopped = gateway[Symbol.asyncDispose]();
  },
);

Then(
  "it is answered with {int} as {string}",
  async function (this: World, status: number, executed: string) {
    await this.lateCaller.waitUntil(({ hasEnded }) => hasEnded);
    const pattern = `^HTTP/1.1 ${status} .*"executed":"${executed}"`;
    assert.match(this.lateCaller.text, new RegExp(pattern, "s"));
  },
);

Then("the streams have no proper end", async function (this: World) {
  for (const caller of this.streamCallers) {
    await caller.waitUntil(({ hasEnded }) => hasEnded);
    assert.ok(!caller.text.endsWith("0\r\n\r\n"));
  }
});

Given(
  "a caller that has not read any of its answer of {int} KiB",
  async function (this: World, sizeKib: number) {
    this.slowAnswerBytes = sizeKib * 1024;
    const body = "a".repeat(this.slowAnswerBytes);
    this.streamRunner.script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, body));
    const received = this.streamRunner.waitForRequest();
    const caller = await connectLateCaller(this);
    caller.socket.pause();
    caller.send({ path: "/payout/1", attemptId: "slow" });
    const { socket } = await received;
    while (socket.writableLength > 0) await wait(timers, 1);
    await wait(timers, 100);
  },
);

When(
  "the caller reads after {int} ms",
  async function (this: World, ms: number) {
    await wait(timers, ms);
    this.lateCaller.socket.resume();
  },
);

Then("it gets the whole answer", async function (this: World) {
  await this.lateCaller.waitUntil(({ hasEnded }) => hasEnded);
  const { text } = this.lateCaller;
  const bodyBytes = text.length - text.indexOf("\r\n\r\n") - 4;
  assert.equal(bodyBytes, this.slowAnswerBytes);
});
