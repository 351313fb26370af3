import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { LatencyTracker } from "@jasminetide/core/retries";
import type { RequestKind } from "@jasminetide/core/routes";
import { getFirstByteLimitMs } from "./silence_limits.ts";

type World = {
  limitedRoute: { kind: RequestKind; goalMs: number; timeoutMs: number };
  usualFirstBytes: LatencyTracker;
};

Given(
  "a {word} route with a goal of {int} ms and a timeout of {int} ms",
  function (
    this: World,
    kind: RequestKind,
    goalMs: number,
    timeoutMs: number,
  ) {
    this.limitedRoute = { kind, goalMs, timeoutMs };
  },
);

Given(
  "first bytes that came after {int} ms",
  function (this: World, durationMs: number) {
    this.usualFirstBytes = LatencyTracker.create();
    for (let count = 0; count < 50; count++) {
      this.usualFirstBytes.record(durationMs, 0);
    }
  },
);

Then(
  "another runner may take over after {int} ms",
  function (this: World, limitMs: number) {
    const options = { ...this.limitedRoute, nowMs: 0 };
    const found = getFirstByteLimitMs(this.usualFirstBytes, options);
    assert.equal(Math.round(found), limitMs);
  },
);
