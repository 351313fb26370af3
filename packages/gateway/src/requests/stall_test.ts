import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  formatStreamEnd,
  formatStreamStart,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
} from "../test_support/mod.ts";

type World = {
  stalling: TestGateway;
  stallRunner: ScriptedRunner;
  stallCallers: RawCaller[];
};

const timers = RealTimerService.create();

Given(
  "a gateway with one runner, and {int} callers that have connected",
  async function (this: World, count: number) {
    this.stalling = await startTestGateway();
    const { declarations, gateway, runners } = this.stalling;
    this.stallRunner = await ScriptedRunner.create(({ attemptId, socket }) =>
      socket.write(formatStreamStart(attemptId, [1]) + formatStreamEnd([2]))
    );
    declarations.put("main", createDeclaration(1));
    runners.put("r", createRunnerRecord("r", this.stallRunner.address));
    while (!gateway.isReady || gateway.runnerCount === 0) await wait(timers, 1);
    this.stallCallers = await Promise.all(
      Array.from(
        { length: count },
        () => RawCaller.create(gateway.callerAddress),
      ),
    );
    // The gateway has accepted the connections.
    await wait(timers, 50);
  },
);

After(async function (this: World) {
  if (this.stalling === undefined) return;
  for (const caller of this.stallCallers) caller[Symbol.dispose]();
  await this.stallRunner[Symbol.asyncDispose]();
  await this.stalling.gateway[Symbol.asyncDispose]();
});

function sendRequest(caller: RawCaller, index: number): void {
  caller.send({ path: "/story/1", attemptId: `stalled-${index}` });
}

/** Keeps the event loop of the gateway, which is this one, from going on. */
function stall(durationMs: number): void {
  const endMs = timers.nowMs() + durationMs;
  while (timers.nowMs() < endMs);
}

When(
  /^all send a request and (leave|wait) while the gateway stalls for (\d+) ms$/,
  async function (this: World, then: string, stallMs: string) {
    await setImmediate();
    this.stallCallers.forEach((caller, index) => {
      sendRequest(caller, index);
      if (then === "leave") caller.socket.destroy();
    });
    stall(Number(stallMs));
  },
);

When(
  "each of them sends a request, one after the other",
  async function (this: World) {
    for (const [index, caller] of this.stallCallers.entries()) {
      sendRequest(caller, index);
      await caller.waitUntil(isAnswered);
    }
  },
);

Then(
  "at most {int} requests have reached the runner {int} ms later",
  async function (this: World, limit: number, laterMs: number) {
    await wait(timers, laterMs);
    const { length } = this.stallRunner.requests;
    assert.ok(length <= limit, `${length} have reached it`);
  },
);

Then("all are answered", async function (this: World) {
  for (const caller of this.stallCallers) await caller.waitUntil(isAnswered);
  assert.equal(this.stallRunner.requests.length, this.stallCallers.length);
});

function isAnswered({ text }: RawCaller): boolean {
  return text.startsWith("HTTP/1.1 200") && text.endsWith("0\r\n\r\n");
}

Then("the gateway deferred none of them", async function (this: World) {
  const { peerAddress } = this.stalling.gateway;
  const answer = await fetch(`http://${peerAddress}/metrics`);
  const metrics = await answer.text();
  assert.match(metrics, /^jasminetide_requests_total 20$/m);
  assert.doesNotMatch(metrics, /requests_deferred/);
});
