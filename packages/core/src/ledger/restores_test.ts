import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { decodePosition } from "../store/mod.ts";
import { decodeHead } from "./codec.ts";
import { LedgerHarness } from "./ledger_harness_test.ts";

type World = {
  harness: LedgerHarness;
  journalCopy: LedgerHarness["objects"];
};

const stepMs = 10;

Given(
  "a journal and the sidecars {string}, {string} and {string}",
  function (this: World, first: string, second: string, third: string) {
    this.harness = LedgerHarness.create([first, second, third]);
  },
);

When("{string} leaves the shard", function (this: World, name: string) {
  this.harness.send(name, { type: "leave" });
});

Given("the journal is copied", function (this: World) {
  this.journalCopy = new Map(this.harness.objects);
});

When(
  "the answer {string} of the runner is recorded",
  function (this: World, body: string) {
    this.harness.advance(100);
    this.harness.answerAll(body);
    this.harness.advance(1000);
  },
);

When("the journal is restored from the copy", function (this: World) {
  this.harness.restore(this.journalCopy);
});

When(
  "{string} notices and {string} takes over after a crash of {string}",
  function (this: World, owner: string, next: string, _owner: string) {
    // Half of a lease passes before an idle owner writes.
    this.harness.advance(this.harness.settings.leaseMs);
    assert.equal(this.harness.getRole(owner), "owner");
    this.harness.end(owner, { side: "after", step: "notice" });
    takeOver(this.harness, next);
  },
);

When(
  "{string} crashes before it notices that the journal is restored",
  function (this: World, owner: string) {
    this.harness.end(owner, { side: "before", step: "notice" });
    this.harness.restore(this.journalCopy);
  },
);

function takeOver(harness: LedgerHarness, name: string): void {
  harness.call(name, "takeover", { mayClaim: true });
  for (let step = 0; step < 60; step += 1) harness.advance(500);
  assert.equal(harness.getRole(name), "owner");
}

Then("the journal has segments", function (this: World) {
  const { objects } = this.harness;
  const { slots } = decodeHead(objects.get("head")?.value ?? "");
  assert.ok(slots.some((slot) => slot.isUsed));
});

Then(
  "the stored head refers to segments as they stand for {int} seconds",
  function (this: World, seconds: number) {
    for (let passedMs = 0; passedMs < seconds * 1000; passedMs += stepMs) {
      this.harness.advance(stepMs);
      checkSegments(this.harness);
    }
  },
);

/** Asserts that the head names each of its segments with its version. */
function checkSegments({ objects }: LedgerHarness): void {
  const { slots } = decodeHead(objects.get("head")?.value ?? "");
  for (const [slot, { isUsed, version }] of slots.entries()) {
    if (!isUsed) continue;
    const stored = objects.get(`segment-${slot}`)?.version ?? 0;
    assert.equal(
      decodePosition(stored).revision,
      decodePosition(version).revision,
      `Segment ${slot} is not as the head names it`,
    );
  }
}
