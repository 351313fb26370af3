import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitForRelease } from "./busiest_minute.ts";

type PeakContext = Parameters<typeof waitForRelease>[2];

type World = { heldRequests: string[]; peakContext: PeakContext };

const envelope = {
  attempt: "attempt-1",
  epoch: 1,
  workspace: "local",
  priority: 2,
  weight: 1,
  costTokens: 100,
  remainingMs: 60_000,
  pool: "assistant",
  chatKey: "0",
  isIdempotent: true,
  configurationVersion: 1,
};

Given("a runner whose minute is at its peak", function (this: World) {
  this.heldRequests = [];
  const wait = (request: { id: string }) => {
    this.heldRequests.push(request.id);
    return Promise.resolve();
  };
  this.peakContext = {
    admission: { getExpectedMs: () => 1000 },
    peak: { wait },
    isDeferrable: () => true,
  } as unknown as PeakContext;
});

When(
  /^a deferrable request arrives as a (first|repeated) attempt$/,
  async function (this: World, attempt: string) {
    const isRepeated = attempt === "repeated";
    await waitForRelease(
      { envelope: { ...envelope, isRepeated }, arrivedAtMs: 0 },
      new AbortController().signal,
      this.peakContext,
    );
  },
);

Then(
  /^it is (held back|let through)$/,
  function (this: World, decision: string) {
    const expected = decision === "held back" ? [envelope.attempt] : [];
    assert.deepEqual(this.heldRequests, expected);
  },
);
