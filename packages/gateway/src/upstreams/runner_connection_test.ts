import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import {
  ReadScheduler,
  RealTimerService,
  waitForReads,
} from "@jasminetide/runtime/clock";
import {
  formatAnswer,
  type ReceivedRequest,
  resetSocket,
  ScriptedRunner,
} from "../test_support/mod.ts";
import { RunnerConnection } from "./mod.ts";

type World = {
  answeringRunner: ScriptedRunner | undefined;
  connection: RunnerConnection;
  received: ReceivedRequest;
  /** Whether the caller is slow once it was sent a part of an answer. */
  isCallerSlow: boolean;
  startedTurns: (() => void)[];
  body: string;
  isComplete: boolean;
  brokenReason: string | undefined;
};

const timers = RealTimerService.create();

const attemptId = "attempt-1";

After(async function (this: World) {
  if (this.answeringRunner === undefined) return;
  this.connection.destroy();
  await this.answeringRunner[Symbol.asyncDispose]();
});

Given(
  "a connection to a runner, in a turn whose work is used up",
  async function (this: World) {
    this.startedTurns = [];
    this.body = "";
    this.isComplete = false;
    this.isCallerSlow = false;
    this.answeringRunner = await ScriptedRunner.create(() => {});
    const reads = ReadScheduler.create({
      turnCost: 1,
      onNextTurn: (handler) => this.startedTurns.push(handler),
    });
    this.connection = await RunnerConnection.open({
      address: this.answeringRunner.address,
      timers,
      reads,
      onClosed: () => {},
    });
    await sendRequest(this);
    reads.recordWork(1);
  },
);

/** Sends a request on the connection; resolves when the runner has it. */
async function sendRequest(world: World): Promise<void> {
  assert.ok(world.answeringRunner);
  const received = world.answeringRunner.waitForRequest();
  world.body = "";
  world.isComplete = false;
  world.connection.send({
    attemptId,
    method: "GET",
    target: "/",
    headers: ["x-attempt-id", attemptId],
    body: Buffer.alloc(0),
  }, {
    isOwnAnswer: () => true,
    onHead: () => {},
    onBody: (bytes) => {
      world.body += bytes.toString();
      if (world.isCallerSlow) world.connection.setPaused(true);
    },
    onComplete: () => void (world.isComplete = true),
    onBroken: (reason) => void (world.brokenReason = reason),
  });
  world.received = await received;
}

/** Waits until what was sent to the connection was read. */
async function settle(): Promise<void> {
  await wait(timers, 20);
  await waitForReads();
}

When(
  "the runner sends the answer {string}",
  async function (this: World, body: string) {
    this.received.socket.write(formatAnswer(attemptId, body));
    await settle();
  },
);

When("the runner resets the connection", async function (this: World) {
  resetSocket(this.received.socket);
  await settle();
});

When(
  "the runner sends the answer {string} in two parts while the caller is slow",
  async function (this: World, body: string) {
    const answer = formatAnswer(attemptId, body);
    this.received.socket.write(answer.slice(0, -2));
    await settle();
    this.connection.setPaused(true);
    this.received.socket.write(answer.slice(-2));
    await settle();
  },
);

Given("its caller is slow", function (this: World) {
  this.isCallerSlow = true;
});

When(
  "another caller, who is not slow, sends a request on the connection",
  async function (this: World) {
    this.isCallerSlow = false;
    await sendRequest(this);
  },
);

When("the caller has read what it was sent", async function (this: World) {
  this.connection.setPaused(false);
  await settle();
  for (const start of this.startedTurns.splice(0)) start();
});

Then("nothing of it is read in this turn", function (this: World) {
  assert.equal(this.body, "");
  assert.equal(this.isComplete, false);
});

Then(
  "the answer {string} is complete in the next turn",
  function (this: World, body: string) {
    for (const start of this.startedTurns.splice(0)) start();
    assert.equal(this.body, body);
    assert.ok(this.isComplete);
  },
);

Then(
  "the answer {string} is complete",
  function (this: World, body: string) {
    assert.equal(this.body, body);
    assert.ok(this.isComplete, this.brokenReason);
  },
);

Then(
  "only the part that had arrived before is read in the next turn",
  async function (this: World) {
    for (const start of this.startedTurns.splice(0)) start();
    await settle();
    assert.equal(this.body, "la");
  },
);

When("the connection is destroyed", function (this: World) {
  this.received.socket.once("error", ({ message }) => {
    this.brokenReason = message;
  });
  this.connection.destroy();
});

Then("the runner notices a reset", async function (this: World) {
  await this.received.closed;
  assert.match(this.brokenReason ?? "", /ECONNRESET/);
});
