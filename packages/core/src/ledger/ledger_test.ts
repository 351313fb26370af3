import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { decodeHead } from "./codec.ts";
import { LedgerHarness } from "./ledger_harness_test.ts";

type World = { harness: LedgerHarness };

const windowMs = 60_000;

Given(
  "a journal and the sidecars {string} and {string}",
  function (this: World, left: string, right: string) {
    this.harness = LedgerHarness.create([left, right]);
  },
);

Given(
  "the outage mode is {string}",
  function (this: World, mode: "refuse" | "open-window") {
    this.harness.settings.outageMode = mode;
  },
);

Given("{string} owns the shard", function (this: World, name: string) {
  this.harness.send(name, { type: "propose" });
  this.harness.settle();
  assert.equal(this.harness.getRole(name), "owner");
});

Given("{string} takes over", function (this: World, name: string) {
  this.harness.call(name, "takeover", { mayClaim: true });
  for (let step = 0; step < 60; step++) this.harness.advance(500);
  assert.equal(this.harness.getRole(name), "owner");
});

Given(
  "the platform is down for {int} seconds",
  function (this: World, seconds: number) {
    this.harness.isDown = true;
    for (let step = 0; step < seconds; step++) this.harness.advance(1000);
  },
);

When("the platform is up again", function (this: World) {
  this.harness.isDown = false;
  for (let step = 0; step < 5; step++) this.harness.advance(1000);
});

When(
  "a call with key {string} arrives at {string}",
  function (this: World, key: string, name: string) {
    this.harness.call(name, key);
  },
);

When(
  "a call with key {string} and body {string} arrives at {string}",
  function (this: World, key: string, body: string, name: string) {
    this.harness.call(name, key, { requestHash: body });
  },
);

When(
  "a call with key {string} issued {int} windows ago arrives at {string}",
  function (this: World, key: string, windows: number, name: string) {
    const issuedAtMs = this.harness.nowMs - windows * windowMs;
    this.harness.call(name, key, { issuedAtMs });
  },
);

When(
  "the first call with key {string} is sent again to {string}",
  function (this: World, key: string, name: string) {
    this.harness.call(name, key, { issuedAtMs: this.harness.startMs });
  },
);

When(
  "a call with the key {string} without an issue time arrives at {string}",
  function (this: World, key: string, name: string) {
    this.harness.call(name, key, { issuedAtMs: undefined });
  },
);

When(
  /^key "(\w+)" is sent through a router that lists (?:only )?(.+)$/,
  function (this: World, key: string, list: string) {
    const names = list.replaceAll('"', "").split(" and ");
    this.harness.answers.push(this.harness.search(key, names));
  },
);

When("the answer to its write is lost", function (this: World) {
  this.harness.losesNextAnswer = true;
  this.harness.advance(100);
  this.harness.advance(100);
});

When("the runner answers {string}", function (this: World, body: string) {
  this.harness.advance(1);
  this.harness.answerAll(body);
});

When("the runner has not answered", () => {});

When(
  /^"(\w+)" crashes (before|after) the (\w+)(?: is written)?$/,
  function (this: World, name: string, side: string, step: string) {
    this.harness.end(name, { side, step });
  },
);

When(
  /^"(\w+)" is paused(?: while its write is answered)?$/,
  function (this: World, name: string) {
    this.harness.pause(name);
  },
);

When(
  "a call with key {string} arrives at {string}, which may claim the shard",
  function (this: World, key: string, name: string) {
    this.harness.call(name, key, { mayClaim: true });
  },
);

When(
  "{int} seconds pass at the ledger",
  function (this: World, seconds: number) {
    this.harness.advance(seconds * 1000);
  },
);

When("{string} resumes", function (this: World, name: string) {
  this.harness.resume(name);
  this.harness.advance(100);
});

When("two windows pass with other calls", function (this: World) {
  for (let step = 0; step < 24; step++) {
    this.harness.advance(windowMs / 12);
    this.harness.call("one", `other-${step}`);
    this.harness.advance(100);
    this.harness.answerAll("refunded");
  }
});

When(
  "{int} calls with keys without an issue time are answered by {string}",
  function (this: World, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      this.harness.call(name, `plain-${index}`, { issuedAtMs: undefined });
      this.harness.advance(100);
      this.harness.answerAll("refunded");
    }
  },
);

When(
  "{int} calls with large answers are answered by {string}",
  function (this: World, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      this.harness.call(name, `large-${index}`);
      this.harness.advance(100);
      this.harness.answerAll("x".repeat(2000));
      this.harness.advance(300);
    }
  },
);

When(
  "the first of these calls is sent again to {string}",
  function (this: World, name: string) {
    this.harness.call(name, "large-0");
  },
);

Then(
  "{string} has dispatched key {string} {int} time(s)",
  function (this: World, name: string, key: string, count: number) {
    this.harness.advance(100);
    assert.equal(this.harness.countDispatches(key, name), count);
  },
);

Then(
  "key {string} was dispatched at most 1 time",
  function (this: World, key: string) {
    assert.ok(this.harness.countDispatches(key) <= 1);
  },
);

Then(
  /^the last answer is "(\w+)", (stored|new)$/,
  function (this: World, body: string, origin: string) {
    const answer = this.harness.answers.at(-1);
    assert.equal(answer?.type, "answered");
    assert.deepEqual(
      [Buffer.from(answer.answer.body).toString(), answer.isStored],
      [body, origin === "stored"],
    );
  },
);

Then("the last answer is a large one, stored", function (this: World) {
  const answer = this.harness.answers.at(-1);
  assert.equal(answer?.type, "answered");
  assert.equal(answer.answer.body.length, 2000);
  assert.equal(answer.isStored, true);
});

Then(
  /^the last answer is refused as (\w+) with executed "(\w+)"$/,
  function (this: World, result: string, executed: string) {
    const answer = this.harness.answers.at(-1);
    assert.equal(answer?.type, "refused");
    assert.deepEqual([answer.result, answer.executed], [result, executed]);
  },
);

Then(
  "the last answer names the owner {string}",
  function (this: World, name: string) {
    this.harness.advance(100);
    const answer = this.harness.answers.at(-1);
    assert.equal(answer?.type, "moved");
    assert.equal(answer.owner?.name, name);
  },
);

Given(
  "a history of {int} seconds and {int} entries",
  function (this: World, seconds: number, entries: number) {
    this.harness.settings.windowMs = seconds * 1000;
    this.harness.settings.maximumEntriesPerShard = entries;
  },
);

Then(
  "the journal has more than {int} and at most {int} segments in use",
  function (this: World, below: number, most: number) {
    const { slots } = decodeHead(this.harness.objects.get("head")?.value ?? "");
    const count = slots.filter((slot) => slot.isUsed).length;
    assert.ok(slots.length > count, "no segment was merged");
    assert.ok(count > below && count <= most, `${count} segments`);
  },
);

Then("no object exceeds {int} bytes", function (this: World, limit: number) {
  const sizes = [...this.harness.objects.values()].map((row) =>
    row.value.length
  );
  assert.ok(Math.max(...sizes) <= limit, `sizes are ${sizes}`);
});
