import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { decodeHead } from "./codec.ts";
import { LedgerBench } from "./ledger_bench_test.ts";

type World = { bench: LedgerBench };

const windowMs = 60_000;

Given(
  "a journal and the sidecars {string} and {string}",
  function (this: World, left: string, right: string) {
    this.bench = LedgerBench.create([left, right]);
  },
);

Given(
  "the outage mode is {string}",
  function (this: World, mode: "refuse" | "open-window") {
    this.bench.settings.outageMode = mode;
  },
);

Given("{string} owns the shard", function (this: World, name: string) {
  this.bench.send(name, { type: "propose" });
  this.bench.settle();
  assert.equal(this.bench.getRole(name), "owner");
});

Given("{string} takes over", function (this: World, name: string) {
  this.bench.call(name, "takeover", { mayClaim: true });
  for (let step = 0; step < 60; step++) this.bench.advance(500);
  assert.equal(this.bench.getRole(name), "owner");
});

Given(
  "the platform is down for {int} seconds",
  function (this: World, seconds: number) {
    this.bench.isDown = true;
    for (let step = 0; step < seconds; step++) this.bench.advance(1000);
  },
);

When("the platform is up again", function (this: World) {
  this.bench.isDown = false;
  for (let step = 0; step < 5; step++) this.bench.advance(1000);
});

When(
  "a call with key {string} arrives at {string}",
  function (this: World, key: string, name: string) {
    this.bench.call(name, key);
  },
);

When(
  "a call with key {string} and body {string} arrives at {string}",
  function (this: World, key: string, body: string, name: string) {
    this.bench.call(name, key, { requestHash: body });
  },
);

When(
  "a call with key {string} issued {int} windows ago arrives at {string}",
  function (this: World, key: string, windows: number, name: string) {
    const issuedAtMs = this.bench.nowMs - windows * windowMs;
    this.bench.call(name, key, { issuedAtMs });
  },
);

When(
  "the first call with key {string} is sent again to {string}",
  function (this: World, key: string, name: string) {
    this.bench.call(name, key, { issuedAtMs: this.bench.startMs });
  },
);

When(
  "a call with the key {string} without a time arrives at {string}",
  function (this: World, key: string, name: string) {
    this.bench.call(name, key, { issuedAtMs: undefined });
  },
);

When(
  /^key "(\w+)" is sent through a router that knows (?:only )?(.+)$/,
  function (this: World, key: string, list: string) {
    const names = list.replaceAll('"', "").split(" and ");
    this.bench.answers.push(this.bench.search(key, names));
  },
);

When("the answer to its write is lost", function (this: World) {
  this.bench.losesNextAnswer = true;
  this.bench.advance(100);
  this.bench.advance(100);
});

When("the runner answers {string}", function (this: World, body: string) {
  this.bench.advance(1);
  this.bench.answerAll(body);
});

When("the runner has not answered", () => {});

When(
  /^"(\w+)" dies (before|after) the (\w+)(?: is written)?$/,
  function (this: World, name: string, side: string, step: string) {
    this.bench.die(name, { side, step });
  },
);

When(
  /^"(\w+)" is paused(?: while its write is answered)?$/,
  function (this: World, name: string) {
    this.bench.pause(name);
  },
);

When(
  "a call with key {string} arrives at {string}, which may claim the shard",
  function (this: World, key: string, name: string) {
    this.bench.call(name, key, { mayClaim: true });
  },
);

When(
  "{int} seconds pass at the ledger",
  function (this: World, seconds: number) {
    this.bench.advance(seconds * 1000);
  },
);

When("{string} goes on", function (this: World, name: string) {
  this.bench.resume(name);
  this.bench.advance(100);
});

When("two windows pass with other calls", function (this: World) {
  for (let step = 0; step < 24; step++) {
    this.bench.advance(windowMs / 12);
    this.bench.call("one", `other-${step}`);
    this.bench.advance(100);
    this.bench.answerAll("refunded");
  }
});

When(
  "{int} calls with keys without a time are answered by {string}",
  function (this: World, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      this.bench.call(name, `plain-${index}`, { issuedAtMs: undefined });
      this.bench.advance(100);
      this.bench.answerAll("refunded");
    }
  },
);

When(
  "{int} calls with large answers are answered by {string}",
  function (this: World, count: number, name: string) {
    for (let index = 0; index < count; index++) {
      this.bench.call(name, `large-${index}`);
      this.bench.advance(100);
      this.bench.answerAll("x".repeat(2000));
      this.bench.advance(300);
    }
  },
);

When(
  "the first of these calls is sent again to {string}",
  function (this: World, name: string) {
    this.bench.call(name, "large-0");
  },
);

Then(
  "{string} has dispatched key {string} {int} time(s)",
  function (this: World, name: string, key: string, count: number) {
    this.bench.advance(100);
    assert.equal(this.bench.countDispatches(key, name), count);
  },
);

Then(
  "key {string} was dispatched at most 1 time",
  function (this: World, key: string) {
    assert.ok(this.bench.countDispatches(key) <= 1);
  },
);

Then(
  /^the last answer is "(\w+)", (stored|new)$/,
  function (this: World, body: string, origin: string) {
    const answer = this.bench.answers.at(-1);
    assert.equal(answer?.type, "answered");
    assert.deepEqual(
      [Buffer.from(answer.answer.body).toString(), answer.isStored],
      [body, origin === "stored"],
    );
  },
);

Then("the last answer is a large one, stored", function (this: World) {
  const answer = this.bench.answers.at(-1);
  assert.equal(answer?.type, "answered");
  assert.equal(answer.answer.body.length, 2000);
});

Then(
  /^the last answer is refused as (\w+) with executed "(\w+)"$/,
  function (this: World, result: string, executed: string) {
    const answer = this.bench.answers.at(-1);
    assert.equal(answer?.type, "refused");
    assert.deepEqual([answer.result, answer.executed], [result, executed]);
  },
);

Then(
  "the last answer names the owner {string}",
  function (this: World, name: string) {
    this.bench.advance(100);
    const answer = this.bench.answers.at(-1);
    assert.equal(answer?.type, "moved");
    assert.equal(answer.owner?.name, name);
  },
);

Given(
  "a history of {int} seconds and {int} entries",
  function (this: World, seconds: number, entries: number) {
    this.bench.settings.windowMs = seconds * 1000;
    this.bench.settings.maximumEntriesPerShard = entries;
  },
);

Then(
  "the journal has more than {int} and at most {int} segments in use",
  function (this: World, below: number, most: number) {
    const { slots } = decodeHead(this.bench.objects.get("head")?.value ?? "");
    const count = slots.filter((slot) => slot.isUsed).length;
    assert.ok(slots.length > count, "no segment was merged");
    assert.ok(count > below && count <= most, `${count} segments`);
  },
);

Then("no object exceeds {int} bytes", function (this: World, limit: number) {
  const sizes = [...this.bench.objects.values()].map((row) => row.value.length);
  assert.ok(Math.max(...sizes) <= limit, `sizes are ${sizes}`);
});
