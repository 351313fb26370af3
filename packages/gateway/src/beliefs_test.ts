import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import type { LogFields } from "@jasminetide/runtime/logging";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
} from "./test_support/mod.ts";

type BeliefLine = { event: string; fields: LogFields };

type World = {
  believing: TestGateway;
  believedRunner: ScriptedRunner;
  beliefs: BeliefLine[];
};

const timers = RealTimerService.create();

Given(
  "a logged gateway with declaration {int} and a runner",
  async function (this: World, version: number) {
    this.beliefs = [];
    const write = (event: string, fields: LogFields = {}) =>
      void this.beliefs.push({ event, fields });
    this.believedRunner = await ScriptedRunner.create(() => {});
    this.believing = await startTestGateway({
      logger: { error: write, warn: write, info: write, debug: write },
    });
    const { declarations, gateway, runners } = this.believing;
    runners.put("r", createRunnerRecord("r", this.believedRunner.address));
    while (gateway.runnerCount === 0) await wait(timers, 1);
    declarations.put("main", createDeclaration(version));
    while (!gateway.isReady) await wait(timers, 1);
  },
);

After(async function (this: World) {
  await this.believedRunner?.[Symbol.asyncDispose]();
  await this.believing?.gateway[Symbol.asyncDispose]();
});

async function callOnce(world: World, path: string): Promise<void> {
  using caller = await RawCaller.create(world.believing.gateway.callerAddress);
  caller.send({ path, attemptId: `belief-${world.beliefs.length}` });
  await caller.waitUntil(({ text }) => text.includes("\r\n\r\n"));
}

When(
  "the runner cuts {int} lookups off",
  async function (this: World, count: number) {
    this.believedRunner.script = ({ socket }) => socket.destroy();
    // Each lookup is tried twice at the only runner.
    for (let cut = 0; cut < count; cut += 2) await callOnce(this, "/lookup/1");
  },
);

When("the runner answers a lookup", async function (this: World) {
  this.believedRunner.script = ({ attemptId, socket }) =>
    socket.write(formatAnswer(attemptId, "done"));
  await callOnce(this, "/lookup/1");
});

function getBelief(world: World, event: string): LogFields {
  const line = world.beliefs.find((each) => each.event === event);
  assert.ok(line, world.beliefs.map((each) => each.event).join(" "));
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
    const fields = getBelief(this, event);
    assert.equal(fields[first], firstValue);
    assert.equal(fields[second], secondValue);
  },
);

Then("it logs {string} for the runner", function (this: World, event: string) {
  assert.equal(getBelief(this, event).runner, "r");
});
