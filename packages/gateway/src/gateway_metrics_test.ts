import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { formatMetricsPage, metricDescriptions } from "./gateway_metrics.ts";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  testHeaders,
} from "./test_support/mod.ts";

type World = {
  countedGateway: TestGateway;
  countedRunner: ScriptedRunner;
  metricLines: string[];
};

const timers = RealTimerService.create();

Then("the page in docs equals the page formatted by the code", function () {
  const page = readFileSync("docs/metrics.md", "utf8");
  assert.deepEqual(listWords(page), listWords(formatMetricsPage()));
});

/** Splits a text into words, since the documents' formatter wraps lines. */
function listWords(text: string): string[] {
  return text.trim().split(/\s+/);
}

async function loadMetrics(world: World): Promise<string[]> {
  const { gateway } = world.countedGateway;
  const answer = await fetch(`http://${gateway.peerAddress}/metrics`);
  return (await answer.text()).trim().split("\n");
}

async function waitForLine(world: World, line: string): Promise<void> {
  while (!(await loadMetrics(world)).includes(line)) await wait(timers, 1);
}

Given(
  "a gateway after one outage of its store",
  async function (this: World) {
    this.countedRunner = await ScriptedRunner.create(() => {});
    this.countedGateway = await startTestGateway();
    const { declarations, gateway, runners } = this.countedGateway;
    declarations.put("main", createDeclaration(1));
    const { address } = this.countedRunner;
    runners.put("r", createRunnerRecord("r", address));
    while (!gateway.isReady) await wait(timers, 1);
    runners.setUnavailable(true);
    await waitForLine(this, "jasminetide_store_lost_runners_total 1");
    runners.setUnavailable(false);
  },
);

After(async function (this: World) {
  await this.countedRunner?.[Symbol.asyncDispose]();
  await this.countedGateway?.gateway[Symbol.asyncDispose]();
});

async function call(world: World, path: string): Promise<void> {
  const { callerAddress } = world.countedGateway.gateway;
  using caller = await RawCaller.create(callerAddress);
  caller.send({ path, attemptId: `counted${path.replaceAll("/", "-")}` });
  await caller.waitUntil(({ text }) => text.includes("\r\n\r\n"));
}

When(
  "requests are answered, refused, retried, broken and abandoned",
  async function (this: World) {
    const runner = this.countedRunner;
    runner.script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, "done"));
    await call(this, "/lookup/answered");
    let isFirst = true;
    runner.script = ({ attemptId, socket }) => {
      if (isFirst) socket.destroy();
      else socket.write(formatAnswer(attemptId, "done"));
      isFirst = false;
    };
    await call(this, "/lookup/retried");
    runner.script = ({ socket }) => socket.destroy();
    await call(this, "/payout/broken");
    runner.script = ({ attemptId, socket }) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\n${testHeaders.attempt}: ${attemptId}\r\n` +
          `${testHeaders.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
      );
    await call(this, "/payout/refused");
    await call(this, "/nowhere/");
    runner.script = () => {};
    await disconnectEarly(this);
    await waitForLine(this, "jasminetide_callers_left_total 1");
    this.metricLines = await loadMetrics(this);
  },
);

async function disconnectEarly(world: World): Promise<void> {
  const { callerAddress } = world.countedGateway.gateway;
  using caller = await RawCaller.create(callerAddress);
  const received = world.countedRunner.waitForRequest();
  caller.send({ path: "/lookup/abandoned", attemptId: "counted-abandoned" });
  await received;
}

Then(
  "its metrics have these values",
  function (this: World, table: DataTable) {
    for (const [name, value] of table.raw()) {
      const line = `${name} ${value}`;
      assert.ok(
        this.metricLines.includes(line),
        `${line} not in
${this.metricLines.join("\n")}`,
      );
    }
  },
);

Then("each of its metrics is described", function (this: World) {
  const patterns = metricDescriptions.map(({ name, type }) => {
    const base = name.replaceAll("-", "_").replace(/[A-Z]+$/, "\\w+");
    const ending = type === "counter" ? "_total" : "(_count|\\{.*\\})";
    return new RegExp(`^jasminetide_${base}${ending} `);
  });
  for (const line of this.metricLines) {
    assert.ok(patterns.some((pattern) => pattern.test(line)), line);
  }
});
