import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { setImmediate, setTimeout } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  createRunnerRecord,
  formatAnswer,
  type RawCaller,
  refuseAsNotRun,
  ScriptedRunner,
  testHeaders,
} from "../test_support/mod.ts";
import {
  hasCompleteAnswer,
  type RequestWorld,
  sendRequest,
} from "./requests_test.ts";

type RefusalWorld = RequestWorld & {
  /** Attempts that the runner has run. */
  ran: Set<string>;
  /** Answers to the payouts by attempt. */
  payouts: Map<string, RawCaller>;
};

/** Time from a repeated refusal to the answer of the run. */
const runMs = 20;

Given(
  "it refuses each payout once, and repeats that on the same connection before it runs it",
  function (this: RefusalWorld) {
    const refusedOn = new Map<string, Socket>();
    this.ran = new Set();
    getFirst(this).script = (request) => {
      const { attemptId, socket } = request;
      const earlier = refusedOn.get(attemptId);
      if (earlier === undefined || earlier === socket) refuseAsNotRun(request);
      if (earlier !== undefined) run(this, attemptId, socket);
      refusedOn.set(attemptId, socket);
    };
  },
);

Given(
  "it writes a refusal without the request's id before each answer but the first",
  function (this: RefusalWorld) {
    this.ran = new Set();
    getFirst(this).script = ({ attemptId, socket }) => {
      if (this.ran.size > 0) {
        socket.write(
          `HTTP/1.1 503 Busy\r\n${testHeaders.notRun}: 1\r\n` +
            "Content-Length: 0\r\n\r\n",
        );
      }
      run(this, attemptId, socket);
    };
  },
);

Given(
  "it refuses the first payout for {int} ms, and repeats that before each answer",
  function (this: RefusalWorld, pauseMs: number) {
    let refusal = "";
    this.ran = new Set();
    getFirst(this).script = ({ attemptId, socket }) => {
      if (refusal === "") {
        refusal = `HTTP/1.1 503 Busy\r\n${testHeaders.attempt}: ${attemptId}` +
          `\r\n${testHeaders.notRun}: 1\r\n${testHeaders.pause}: ${pauseMs}` +
          "\r\nContent-Length: 0\r\n\r\n";
        socket.write(refusal);
        return;
      }
      socket.write(refusal);
      run(this, attemptId, socket);
    };
  },
);

When("the runner is left alone for {int} ms", async (durationMs: number) => {
  await setTimeout(durationMs);
});

function getFirst({ scriptedRunners }: RequestWorld): ScriptedRunner {
  const runner = scriptedRunners.get("first");
  assert.ok(runner);
  return runner;
}

function run({ ran }: RefusalWorld, attemptId: string, socket: Socket): void {
  ran.add(attemptId);
  void setTimeout(runMs)
    .then(() => socket.write(formatAnswer(attemptId, "paid")));
}

Given(
  "another runner that cannot be reached",
  async function (this: RefusalWorld) {
    const runner = await ScriptedRunner.create(() => {});
    runner.crash();
    const record = createRunnerRecord("unreachable", runner.address);
    const { gateway, runners } = this.gatewayUnderTest;
    runners.put("unreachable", record);
    while (gateway.runnerCount < 2) await setImmediate();
  },
);

When(
  "{int} payouts are sent, one after the other",
  async function (this: RefusalWorld, count: number) {
    this.payouts = new Map();
    for (let index = 0; index < count; index += 1) {
      const caller = await sendRequest(this, "/payout/1");
      await caller.waitUntil(hasCompleteAnswer);
      this.payouts.set(caller.attemptId, caller);
    }
  },
);

Then(
  "at least {int} have run, and none of those was refused as not run",
  function (this: RefusalWorld, least: number) {
    assert.ok(this.ran.size >= least, `${this.ran.size} have run`);
    for (const attemptId of this.ran) {
      const text = this.payouts.get(attemptId)?.text ?? "";
      assert.doesNotMatch(text, /^HTTP\/1.1 (503|429|421|408) /, attemptId);
    }
  },
);
