import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  formatAnswer,
  formatChunk,
  formatStreamEnd,
  formatStreamStart,
  RawCaller,
  type ReceivedRequest,
  refuseAsNotRun,
  resumeAtThird,
  type Script,
  type ScriptedRunner,
  setScripts,
  type TestGateway,
  testHeaders,
} from "../test_support/mod.ts";

type World = {
  gatewayUnderTest: TestGateway;
  scriptedRunners: Map<string, ScriptedRunner>;
  rawCallers: RawCaller[];
};

const timers = RealTimerService.create();

function listReceived(world: World): ReceivedRequest[] {
  return [...world.scriptedRunners.values()].flatMap(({ requests }) =>
    requests
  );
}

/** Scripts of the runner that is tried second, by description. */
const otherScripts: Record<string, Script> = {
  "refuses as not run": refuseAsNotRun,
  "closes without an answer": ({ socket }) => socket.destroy(),
  "answers with status 500": ({ attemptId, socket }) =>
    socket.write(formatAnswer(attemptId, "no", { status: "500 Failed" })),
  "accepts and sends no answer": () => {},
  "begins and closes": ({ attemptId, socket }) =>
    socket.end(formatStreamStart(attemptId)),
  "resumes": resumeAtThird,
};

function setFirstAndOther(world: World, first: Script, other: string): void {
  const otherScript = otherScripts[other];
  assert.ok(otherScript, other);
  setScripts(world.scriptedRunners.values(), first, otherScript);
}

Given(
  /^the first runner tried pauses for (\d+) ms after event 2, the other (.+)$/,
  function (this: World, pauseMs: string, other: string) {
    const first: Script = async ({ attemptId, socket }) => {
      socket.write(formatStreamStart(attemptId, [1, 2]));
      await wait(timers, Number(pauseMs));
      socket.write(formatStreamEnd([3, 4]));
    };
    setFirstAndOther(this, first, other);
  },
);

Given(
  /^the first runner tried begins after (\d+) ms, the other (.+)$/,
  function (this: World, delayMs: string, other: string) {
    const first: Script = async ({ attemptId, socket }) => {
      await wait(timers, Number(delayMs));
      socket.write(formatStreamStart(attemptId, [1, 2]));
      socket.write(formatStreamEnd([3, 4]));
    };
    setFirstAndOther(this, first, other);
  },
);

Given(
  /^the first runner tried answers "(.+)" after (\d+) ms, the other (.+)$/,
  function (this: World, body: string, delayMs: string, other: string) {
    const first: Script = async ({ attemptId, socket }) => {
      await wait(timers, Number(delayMs));
      socket.write(formatAnswer(attemptId, body));
    };
    setFirstAndOther(this, first, other);
  },
);

Given(
  "the first runner tried stops after event 2, the other accepts and sends no answer",
  function (this: World) {
    const first: Script = ({ attemptId, socket }) =>
      socket.write(formatStreamStart(attemptId, [1, 2]));
    setFirstAndOther(this, first, "accepts and sends no answer");
  },
);

Given(
  "the first runner tried sends no answer, the other refuses once and then answers {string}",
  function (this: World, body: string) {
    let refusals = 0;
    setScripts(
      this.scriptedRunners.values(),
      () => {},
      (request) => {
        refusals += 1;
        if (refusals === 1) refuseAsNotRun(request);
        else request.socket.write(formatAnswer(request.attemptId, body));
      },
    );
  },
);

When(
  "the declaration changes while the runner pauses",
  async function (this: World) {
    const [caller] = this.rawCallers;
    await caller.waitUntil(({ text }) => text.includes("id: 2"));
    const { declarations, gateway } = this.gatewayUnderTest;
    declarations.put("main", createDeclaration(2));
    while (gateway.declarationVersion < 2) await wait(timers, 1);
  },
);

Then(
  "the last request's connection to its runner is closed",
  async function (this: World) {
    const second = [...this.scriptedRunners.values()].find(({ requests }) =>
      requests.every(({ socket }) => socket.bytesWritten === 0)
    );
    await second?.requests[0].closed;
    assert.ok(second);
  },
);

Then(
  "the connection of the silent attempt is closed",
  async function (this: World) {
    const silent = listReceived(this).find(({ head }) =>
      !head.includes(testHeaders.afterEvent)
    );
    await silent?.closed;
    assert.ok(silent);
  },
);

When(
  "the caller disconnects once {int} requests have reached runners",
  async function (this: World, count: number) {
    while (listReceived(this).length < count) await wait(timers, 1);
    this.rawCallers[0][Symbol.dispose]();
  },
);

Then("all runners see their connections close", async function (this: World) {
  await Promise.all(listReceived(this).map(({ closed }) => closed));
});

const mib = 1024 * 1024;
const eventBytes = 64 * 1024;

Given(
  "each runner sends a stream of {int} MiB",
  function (this: World, sizeMib: number) {
    const count = sizeMib * mib / eventBytes;
    const event = `id: 1\ndata: ${"a".repeat(eventBytes - 13)}\n\n`;
    const script: Script = ({ attemptId, socket }) => {
      socket.write(formatStreamStart(attemptId));
      for (let index = 0; index < count; index++) {
        socket.write(formatChunk(event));
      }
      socket.write("0\r\n\r\n");
    };
    setScripts(this.scriptedRunners.values(), script, script);
  },
);

When(
  "a caller sends {string} and reads nothing for {int} ms",
  async function (this: World, path: string, pauseMs: number) {
    const { callerAddress } = this.gatewayUnderTest.gateway;
    const caller = await RawCaller.create(callerAddress);
    this.rawCallers.push(caller);
    caller.socket.pause();
    caller.send({ path, attemptId: "attempt-slow-reader" });
    await wait(timers, pauseMs);
    caller.socket.resume();
  },
);

Then(
  "the caller gets all {int} MiB and a proper end",
  async function (this: World, sizeMib: number) {
    const [caller] = this.rawCallers;
    const sizeBytes = sizeMib * mib;
    await caller.waitUntil(({ hasEnded, socket }) =>
      hasEnded || socket.bytesRead > sizeBytes
    );
    const events = caller.text.split("id: 1\n").length - 1;
    assert.equal(events, sizeBytes / eventBytes);
    await caller.waitUntil(({ hasEnded, text }) =>
      hasEnded || text.endsWith("0\r\n\r\n")
    );
    assert.ok(!caller.hasEnded);
  },
);

Given(
  "each runner pauses for {int} ms after event 2 and sends event 3 at the start of a stall of {int} ms",
  function (this: World, pauseMs: number, stallMs: number) {
    const script: Script = async ({ attemptId, socket }) => {
      socket.write(formatStreamStart(attemptId, [1, 2]));
      await wait(timers, pauseMs);
      // Timers run between this phase of the event loop and the next reads.
      await setImmediate();
      socket.write(formatStreamEnd([3, 4]));
      const endMs = timers.nowMs() + stallMs;
      // Runners and gateway share this process, so this stalls the gateway.
      while (timers.nowMs() < endMs);
    };
    setScripts(this.scriptedRunners.values(), script, script);
  },
);
