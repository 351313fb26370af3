import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  type CrashingFleet,
  type FleetAnswer,
  formatAnswer,
} from "../test_support/mod.ts";

type World = { crashingFleet: CrashingFleet; lookupAnswers: FleetAnswer[] };

const timers = RealTimerService.create();

Given(
  "{int} requests wait at all runners",
  function (this: World, waiting: number) {
    for (const runner of this.crashingFleet.runners) {
      runner.script = ({ attemptId, socket }) =>
        socket.write(formatAnswer(attemptId, "done", { waiting }));
    }
  },
);

When(
  /^(\d+) (prompts|requests without a prompt) are sent$/,
  async function (this: World, count: string, kind: string) {
    const prompt = kind === "prompts" ? "shared" : undefined;
    this.lookupAnswers = [];
    for (let sent = 0; sent < Number(count); sent++) {
      this.lookupAnswers.push(await sendLookup(this, prompt));
    }
  },
);

function sendLookup(
  { crashingFleet }: World,
  prompt: string | undefined,
): Promise<FleetAnswer> {
  return crashingFleet.request(0, { path: "/lookup/1", prompt });
}

Then(
  "the first {int} are answered by different runners",
  function (this: World, count: number) {
    const first = this.lookupAnswers.slice(0, count);
    assert.ok(first.every(({ status }) => status === 200));
    const received = this.crashingFleet.runners
      .filter(({ requests }) => requests.length === 1);
    assert.equal(received.length, count);
  },
);

Then(
  "prompts are answered again within {int} ms",
  async function (this: World, limitMs: number) {
    assert.equal(this.lookupAnswers.at(-1)?.status, 503);
    const endMs = timers.nowMs() + limitMs;
    while ((await sendLookup(this, "shared")).status !== 200) {
      assert.ok(timers.nowMs() < endMs, "still refused");
      await wait(timers, pollMs);
    }
  },
);

/** Period at which a refused prompt is sent again. */
const pollMs = 50;

Then("all of them are answered", function (this: World) {
  for (const { status } of this.lookupAnswers) assert.equal(status, 200);
});
