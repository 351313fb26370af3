import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "../random/mod.ts";
import {
  CircuitBreaker,
  getBackoffMs,
  getSilenceLimitMs,
  LatencyTracker,
  RetryBudget,
} from "./mod.ts";

type World = {
  retryBudget: RetryBudget;
  retryCount: number;
  circuit: CircuitBreaker;
  silences: LatencyTracker;
};

Given("a retry budget of {int} percent", function (this: World, share: number) {
  this.retryBudget = RetryBudget.create({ ratio: share / 100 });
});

When("{int} first attempts all fail", function (this: World, count: number) {
  this.retryCount = 0;
  for (let index = 0; index < count; index++) {
    this.retryBudget.recordAttempt();
    while (this.retryBudget.tryTake()) this.retryCount += 1;
  }
});

Then(
  "at most {int} retries were allowed and at least {int}",
  function (this: World, most: number, least: number) {
    assert.ok(this.retryCount <= most && this.retryCount >= least);
  },
);

Then(
  "{int} delays before retry {int} lie between 0 and {int} ms and average half of it",
  function (this: World, count: number, retry: number, boundMs: number) {
    const random = createSeededRandom(1);
    const delays = Array.from(
      { length: count },
      () =>
        getBackoffMs(retry, { baseDelayMs: 25, maximumDelayMs: 1000, random }),
    );
    assert.ok(delays.every((delay) => delay >= 0 && delay < boundMs));
    const mean = delays.reduce((sum, delay) => sum + delay, 0) / count;
    assert.ok(Math.abs(mean - boundMs / 2) < boundMs / 20);
  },
);

Given("a circuit breaker", function (this: World) {
  this.circuit = CircuitBreaker.create();
});

When(
  "{int} attempts fail at second {int}",
  function (this: World, count: number, second: number) {
    for (let index = 0; index < count; index++) {
      this.circuit.record("failed", second * 1000);
    }
  },
);

When(
  "{int} of {int} attempts fail at second {int}",
  function (this: World, failures: number, count: number, second: number) {
    for (let index = 0; index < count; index++) {
      const outcome = index % 2 === 0 && index / 2 < failures
        ? "failed"
        : "succeeded";
      this.circuit.record(outcome, second * 1000);
    }
  },
);

When(
  /^the probe (succeeds|fails) at (\d+) ms$/,
  function (this: World, outcome: string, atMs: string) {
    const nowMs = Number(atMs);
    if (outcome === "succeeds") assert.ok(this.circuit.tryAdmit(nowMs));
    this.circuit.record(outcome === "fails" ? "failed" : "succeeded", nowMs);
  },
);

Then(
  "the circuit is {word} at {int} ms",
  function (this: World, state: string, nowMs: number) {
    assert.equal(this.circuit.getState(nowMs), state);
  },
);

Then(
  "exactly {int} of {int} attempts is admitted at {int} ms",
  function (this: World, admitted: number, count: number, nowMs: number) {
    const results = Array.from(
      { length: count },
      () => this.circuit.tryAdmit(nowMs),
    );
    assert.equal(results.filter(Boolean).length, admitted);
  },
);

Given(
  "a tracker with {int} silences of {int} ms",
  function (this: World, count: number, durationMs: number) {
    this.silences = LatencyTracker.create();
    for (let index = 0; index < count; index++) {
      this.silences.record(durationMs, 0);
    }
  },
);

Then(
  "the silence limit is between {int} and {int} ms under a bound of {int} ms",
  function (this: World, least: number, most: number, boundMs: number) {
    const limit = getSilenceLimitMs(this.silences, { boundMs, nowMs: 0 });
    assert.ok(limit >= least && limit <= most, String(limit));
  },
);

Then(
  "the silence limit is {int} ms under a bound of {int} ms",
  function (this: World, expected: number, boundMs: number) {
    const limit = getSilenceLimitMs(this.silences, { boundMs, nowMs: 0 });
    assert.equal(limit, expected);
  },
);
