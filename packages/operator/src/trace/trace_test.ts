import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import {
  createDeclaration,
  createRunnerRecord,
  formatHead,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  testHeaders,
} from "@jasminetide/gateway/test_support";
import { RealTimerService } from "@jasminetide/runtime/clock";
import type { LogFields } from "@jasminetide/runtime/logging";
import { type RequestTrace, traceRequest } from "./mod.ts";

type World = {
  tracedGateway: TestGateway;
  tracedRunner: ScriptedRunner;
  logLines: string[];
  trace: RequestTrace;
};

const timers = RealTimerService.create();

async function startTraced(
  world: World,
  script: ScriptedRunner["script"],
  sampleShare = 0,
) {
  world.logLines = [];
  let count = 0;
  const write = (event: string, fields: LogFields = {}) => {
    count += 1;
    const timestamp = `t${String(count).padStart(6, "0")}`;
    world.logLines.push(
      JSON.stringify({ timestamp, process: "gateway-1", event, ...fields }),
    );
  };
  world.tracedRunner = await ScriptedRunner.create(script);
  world.tracedGateway = await startTestGateway({
    sampleShare,
    logger: { error: write, warn: write, info: write, debug: write },
  });
  const { declarations, gateway, runners } = world.tracedGateway;
  declarations.put("main", createDeclaration(1));
  runners.put("r", createRunnerRecord("r", world.tracedRunner.address));
  while (!gateway.isReady) await wait(timers, 1);
}

After(async function (this: World) {
  await this.tracedRunner?.[Symbol.asyncDispose]();
  await this.tracedGateway?.gateway[Symbol.asyncDispose]();
});

Given(
  "a gateway whose runner breaks off every stream",
  async function (this: World) {
    await startTraced(this, ({ attemptId, socket }) =>
      socket.write(
        `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n` +
          "d\r\nid: 1\ndata:\n\n\r\n",
        () => socket.destroy(),
      ));
  },
);

Given(
  "a gateway whose runner refuses every request without running it",
  async function (this: World) {
    await startTraced(this, ({ attemptId, socket }) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\n${testHeaders.attempt}: ${attemptId}\r\n` +
          `${testHeaders.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
      ));
  },
);

Given(
  "a gateway whose runner ends every stream, with all requests logged",
  async function (this: World) {
    await startTraced(this, ({ attemptId, socket }) =>
      socket.write(
        `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n` +
          "d\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n",
      ), 1);
  },
);

async function traceLogged(
  world: World,
  attemptId: string,
  request: { path: string; headers?: Record<string, string> },
): Promise<void> {
  const { callerAddress } = world.tracedGateway.gateway;
  using caller = await RawCaller.create(callerAddress);
  caller.send({ attemptId, ...request });
  const isLogged = () =>
    world.logLines.some((line) => line.includes(attemptId));
  while (!isLogged()) await wait(timers, 1);
  world.trace = traceRequest(world.logLines, attemptId);
}

When(/^a caller's request "(.*)" (?:fails|is answered)$/, async function (
  this: World,
  attemptId: string,
) {
  await traceLogged(this, attemptId, { path: "/summary/1" });
});

When(
  "key {string} is removed by version {int}",
  async function (this: World, _key: string, version: number) {
    const declaration = createDeclaration(version);
    const { declarations, gateway } = this.tracedGateway;
    declarations.put("main", { ...declaration, workspaces: [] });
    while (gateway.declarationVersion < version) await wait(timers, 1);
  },
);

When(
  "a caller's request {string} with that key fails",
  async function (this: World, attemptId: string) {
    const headers = { [testHeaders.key]: "kiosk-key" };
    await traceLogged(this, attemptId, { path: "/private/1", headers });
  },
);

function listOwnLines(world: World) {
  return world.trace.lines.filter(({ fields }) => "attemptId" in fields);
}

Then(
  "its trace has the events {string}",
  function (this: World, events: string) {
    const names = listOwnLines(this).map(({ event }) => event).join(" ");
    assert.ok(names.startsWith(events), names);
  },
);

Then(
  "its trace includes the addition of the runner",
  function (this: World) {
    const [first] = this.trace.lines.filter(({ event }) =>
      event === "runner-added"
    );
    assert.equal(first?.fields.runner, "r");
  },
);

Then(
  "its trace has the end {string} and the step {string}",
  function (this: World, end: string, step: string) {
    const line = listOwnLines(this).find(({ event }) =>
      event === "attempt-ended"
    );
    assert.equal(line?.fields.end, end);
    assert.equal(line?.fields.step, step);
  },
);

Then(
  "its trace includes version {int}",
  function (this: World, version: number) {
    const versions = this.trace.lines.map(({ fields }) => fields.version);
    assert.ok(versions.includes(version), versions.join(" "));
  },
);

Then("the trace of {string} is empty", function (this: World, id: string) {
  assert.deepEqual(traceRequest(this.logLines, id).lines, []);
});
