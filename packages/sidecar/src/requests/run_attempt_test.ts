import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { Metrics } from "@jasminetide/runtime/metrics";
import type { Dispatcher } from "undici";
import { AnswerBuffer } from "../answers/mod.ts";
import type { StoredAttempt } from "./attempt_store.ts";
import { runAttempt } from "./run_attempt.ts";

type World = {
  timers: VirtualTimerService;
  attempt: StoredAttempt;
  maximumResumes: number;
};

const deadlineMs = 30_000;

function startWorld(
  world: World,
  { isIdempotent, maximumResumes }: {
    isIdempotent: boolean;
    maximumResumes: number;
  },
): void {
  world.timers = VirtualTimerService.create();
  world.maximumResumes = maximumResumes;
  world.attempt = {
    answer: AnswerBuffer.create(),
    abort: new AbortController(),
    isIdempotent,
    readerCount: 1,
    lastReadAtMs: 0,
  };
}

Given("a stream that may not run twice", function (this: World) {
  startWorld(this, { isIdempotent: false, maximumResumes: 3 });
});

Given(
  "a stream that may resume {int} times",
  function (this: World, maximumResumes: number) {
    startWorld(this, { isIdempotent: true, maximumResumes });
  },
);

const firstToken = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';

/** Engine that sends one token, pauses until told to go on, and ends. */
function createPausingEngine(goOn: Promise<void>): Dispatcher {
  const request = ({ signal }: { signal: AbortSignal }) => {
    const aborted = new Promise<never>((_resolve, reject) =>
      signal.addEventListener("abort", () => reject(signal.reason))
    );
    aborted.catch(() => {});
    const body = async function* () {
      yield Buffer.from(firstToken);
      await Promise.race([goOn, aborted]);
      yield Buffer.from("data: [DONE]\n\n");
    };
    return Promise.resolve({
      statusCode: 200,
      headers: { "content-type": "text/event-stream" },
      body: body(),
    });
  };
  return { request } as unknown as Dispatcher;
}

When(
  "its engine pauses for {int} ms and goes on",
  async function (this: World, pauseMs: number) {
    let goOn = () => {};
    const paused = new Promise<void>((resolve) => goOn = resolve);
    const ended = runAttempt(this.attempt, {
      id: "attempt-1",
      method: "POST",
      path: "/v1/chat/completions",
      headers: {},
      priority: 0,
      body: new Uint8Array(),
      deadlineMs,
    }, {
      runner: createPausingEngine(paused),
      kind: "engine",
      observer: { observeTokens: () => {} },
      timers: this.timers,
      metrics: Metrics.create(),
      stream: {
        firstByteMs: 1000,
        betweenChunksMs: 1500,
        maximumResumes: this.maximumResumes,
        idlePingMs: 5000,
      },
    });
    await setImmediate();
    this.timers.advance(pauseMs);
    goOn();
    await ended;
  },
);

Then("the answer is whole", function (this: World) {
  assert.equal(this.attempt.answer.state, "complete");
});

Then(
  "the answer has failed as {string}",
  function (this: World, result: string) {
    assert.equal(this.attempt.answer.state, "failed");
    assert.equal(this.attempt.answer.error?.result, result);
  },
);
