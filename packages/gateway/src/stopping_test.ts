import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  formatHead,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
} from "./test_support/mod.ts";

type World = {
  stoppingGateway: TestGateway;
  streamRunner: ScriptedRunner;
  streamCaller: RawCaller;
  idleCaller: RawCaller;
  stopped: Promise<void>;
};

Given(
  "a gateway with a caller whose stream has begun",
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
    const timers = RealTimerService.create();
    while (!gateway.isReady) await wait(timers, 1);
    this.streamCaller = await RawCaller.create(gateway.callerAddress);
    this.streamCaller.send({ path: "/summary/1", attemptId: "a" });
    await this.streamCaller.waitUntil(({ text }) => text.includes("id: 1"));
  },
);

Given("a caller with an idle connection", async function (this: World) {
  const { callerAddress } = this.stoppingGateway.gateway;
  this.idleCaller = await RawCaller.create(callerAddress);
  this.idleCaller.send({ path: "/nowhere/", attemptId: "b" });
  await this.idleCaller.waitUntil(({ text }) => text.includes("No such route"));
});

After(async function (this: World) {
  this.streamCaller?.[Symbol.dispose]();
  this.idleCaller?.[Symbol.dispose]();
  await this.streamRunner?.[Symbol.asyncDispose]();
});

When("the gateway is told to stop", function (this: World) {
  this.stopped = this.stoppingGateway.gateway[Symbol.asyncDispose]();
});

When("the runner ends the stream", function (this: World) {
  this.streamRunner.seen[0].socket.write("0\r\n\r\n");
});

Then("the idle connection is closed", async function (this: World) {
  await this.idleCaller.waitUntil(({ hasEnded }) => hasEnded);
  assert.equal(this.streamCaller.hasEnded, false);
});

Then("the gateway is not ready", function (this: World) {
  assert.equal(this.stoppingGateway.gateway.isReady, false);
});

Then("the caller has the whole stream", async function (this: World) {
  await this.streamCaller.waitUntil(({ text }) => text.endsWith("0\r\n\r\n"));
});

Then("the gateway has stopped", async function (this: World) {
  await this.stopped;
});
