import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import type { LogFields } from "@jasminetide/runtime/logging";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  formatStreamStart,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  testHeaders,
} from "./test_support/mod.ts";

type LogLine = { event: string; fields: LogFields };

type World = {
  loggedGateway: TestGateway;
  loggedRunner: ScriptedRunner;
  loggedLines: LogLine[];
};

const timers = RealTimerService.create();

Given(
  "a logged gateway with declaration {int} and a runner",
  async function (this: World, version: number) {
    this.loggedLines = [];
    const write = (event: string, fields: LogFields = {}) =>
      void this.loggedLines.push({ event, fields });
    this.loggedRunner = await ScriptedRunner.create(() => {});
    this.loggedGateway = await startTestGateway({
      logger: { error: write, warn: write, info: write, debug: write },
    });
    const { declarations, gateway, runners } = this.loggedGateway;
    runners.put("r", createRunnerRecord("r", this.loggedRunner.address));
    while (gateway.runnerCount === 0) await wait(timers, 1);
    declarations.put("main", createDeclaration(version));
    while (!gateway.isReady) await wait(timers, 1);
  },
);

After(async function (this: World) {
  await this.loggedRunner?.[Symbol.asyncDispose]();
  await this.loggedGateway?.gateway[Symbol.asyncDispose]();
});

async function callOnce(
  world: World,
  path: string,
  headers: Record<string, string> = {},
): Promise<void> {
  using caller = await RawCaller.create(
    world.loggedGateway.gateway.callerAddress,
  );
  const attemptId = `logged-${world.loggedLines.length}`;
  caller.send({ path, attemptId, headers });
  await caller.waitUntil(({ text }) => text.includes("\r\n\r\n"));
}

When(
  "the runner closes the connections of {int} lookups",
  async function (this: World, count: number) {
    this.loggedRunner.script = ({ socket }) => socket.destroy();
    // Each lookup is attempted twice at the only runner.
    for (let sent = 0; sent < count; sent += 2) {
      await callOnce(this, "/lookup/1");
    }
  },
);

When(
  "the runner closes the connections of {int} other lookups",
  async function (this: World, count: number) {
    for (let sent = 0; sent < count; sent += 2) {
      await callOnce(this, "/lookup/2");
    }
  },
);

Then(
  "the ends of the first two have the same request key and the others another one",
  function (this: World) {
    const keys = this.loggedLines
      .filter(({ event }) => event === "attempt-ended")
      .map(({ fields }) => fields.requestKey);
    const [first, , third] = keys;
    assert.equal(typeof first, "string");
    assert.notEqual(first, third);
    assert.deepEqual(keys, [first, first, third, third]);
  },
);

When("the runner answers a lookup", async function (this: World) {
  this.loggedRunner.script = ({ attemptId, socket }) =>
    socket.write(formatAnswer(attemptId, "done"));
  await callOnce(this, "/lookup/1");
});

When(
  "the runner answers a lookup and states a limit of {int} a second",
  async function (this: World, perSecond: number) {
    this.loggedRunner.script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, "done", { perSecond }));
    await callOnce(this, "/lookup/1");
  },
);

When(
  "the runner breaks off its answer to a prompt of parts {string}",
  async function (this: World, prompt: string) {
    this.loggedRunner.script = ({ attemptId, socket }) =>
      socket.end(formatStreamStart(attemptId, [1]));
    await callOnce(this, "/summary/1", { [testHeaders.prompt]: prompt });
  },
);

Then(
  "it logs that the answer broke off, with shared parts {string}",
  async function (this: World, sharedParts: string) {
    const isEnd = ({ event }: LogLine) => event === "attempt-ended";
    while (!this.loggedLines.some(isEnd)) await wait(timers, 1);
    const fields = getLogFields(this, "attempt-ended");
    assert.equal(fields.end, "broken");
    assert.equal(fields.sharedParts, sharedParts);
    assert.equal(typeof fields.begunForMs, "number");
  },
);

function getLogFields(world: World, event: string): LogFields {
  const line = world.loggedLines.find((each) => each.event === event);
  assert.ok(line, world.loggedLines.map((each) => each.event).join(" "));
  return line.fields;
}

Then(
  "it logs {string} with {string} {int} and {string} {int}",
  function (
    this: World,
    event: string,
    first: string,
    firstValue: number,
    second: string,
    secondValue: number,
  ) {
    const fields = getLogFields(this, event);
    assert.equal(fields[first], firstValue);
    assert.equal(fields[second], secondValue);
  },
);

Then(
  "it logs {string} with {string} {int}",
  function (this: World, event: string, name: string, value: number) {
    assert.equal(getLogFields(this, event)[name], value);
  },
);

Then("it logs {string} for the runner", function (this: World, event: string) {
  assert.equal(getLogFields(this, event).runner, "r");
});
