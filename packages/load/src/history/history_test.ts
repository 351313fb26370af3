import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { AppError } from "@jasminetide/core/results";
import fc from "fast-check";
import {
  checkHistory,
  type HistoryEvent,
  type HistoryReport,
  type Outcome,
  parseEvent,
} from "./mod.ts";

type World = { events: HistoryEvent[]; report: HistoryReport };

const refusedCode = 4005;
const keyReusedCode = 4001;

type Refund = { key: string; amount?: number; atMs?: number; endMs?: number };

function createRefund(
  id: string,
  refund: Refund,
  outcome: Outcome = answer("a1", refund.amount ?? 5),
): HistoryEvent[] {
  const { key, amount = 5, atMs = 0, endMs = atMs + 1 } = refund;
  return [
    {
      type: "invoke",
      id,
      atMs,
      operation: { kind: "money", service: "s", account: "a1", key, amount },
    },
    { type: "complete", id, atMs: endMs, outcome },
  ];
}

function answer(account: string, refunded: number): Outcome {
  const text = JSON.stringify({ account, refunded, balance: -refunded });
  return { type: "answered", answer: text };
}

function fail(code: number, executed: "no" | "unknown" = "no"): Outcome {
  return { type: "failed", code, executed };
}

function createChat(
  text: string,
  id = "chat-1",
  outcome: Outcome = { type: "answered", answer: text },
): HistoryEvent[] {
  return [
    {
      type: "invoke",
      id,
      atMs: 0,
      operation: {
        kind: "chat",
        workspace: "w",
        model: "m",
        answerToken: "t1",
        answerTokens: 3,
      },
    },
    { type: "complete", id, atMs: 9, outcome },
  ];
}

function createLookup(account: string): HistoryEvent[] {
  const text = JSON.stringify({ account, balance: 0 });
  return [
    {
      type: "invoke",
      id: "lookup-1",
      atMs: 0,
      operation: { kind: "lookup", service: "s", account: "a1" },
    },
    {
      type: "complete",
      id: "lookup-1",
      atMs: 2,
      outcome: { type: "answered", answer: text },
    },
  ];
}

function see(version: number, atMs: number): HistoryEvent {
  return { type: "configuration", process: "router-1", atMs, version };
}

function run(key: string): HistoryEvent {
  return { type: "effect", runner: "r", key };
}

/** The parts of a sound history, which a planted violation replaces. */
function createParts() {
  return {
    header: [{ type: "header", formatVersion: 1, effects: "all" }],
    chat: createChat("t1-0 t1-1 t1-2 "),
    lookup: createLookup("a1"),
    refund: createRefund("refund-1", { key: "key-1" }),
    effect: [run("key-1")],
    refused: createRefund("refund-2", { key: "key-2" }, fail(refusedCode)),
    lost: createRefund("refund-3", { key: "key-3" }, { type: "lost" }),
    again: createRefund("refund-4", { key: "key-1", atMs: 5 }),
    configurations: [see(1, 1), see(0, 2), see(2, 3)],
    planted: [],
  } as { [part: string]: HistoryEvent[] };
}

const later = { key: "key-1", atMs: 9 };

const violations: {
  [name: string]: { [part: string]: HistoryEvent[] };
} = {
  "a refund that took effect twice": { planted: [run("key-1")] },
  "an effect of a refund reported as not run": { planted: [run("key-2")] },
  "a chat that ran though reported as not run": {
    planted: [...createChat("", "chat-2", fail(refusedCode)), run("chat-2")],
  },
  "an answered refund without effect": { effect: [] },
  "an answer of another chat": { chat: createChat("t1-0 t2-1 t1-2 ") },
  "an answer cut short": { chat: createChat("t1-0 t1-1 ") },
  "an answer with a repeated part": { chat: createChat("t1-0 t1-0 t1-1 ") },
  "a balance of another account": { lookup: createLookup("a2") },
  "a process that goes back to an older version": { planted: [see(1, 9)] },
  "a second answer that differs for a key": {
    planted: createRefund("refund-5", later, {
      type: "answered",
      answer: JSON.stringify({ account: "a1", refunded: 5, balance: -10 }),
    }),
  },
  "another body answered for a used key": {
    planted: createRefund("refund-5", { ...later, amount: 6 }),
  },
  "a key refused as used before its first use": {
    planted: createRefund("refund-5", { key: "key-4" }, fail(keyReusedCode)),
  },
  "an answer to a call that was never sent": {
    planted: [{
      type: "complete",
      id: "chat-9",
      atMs: 1,
      outcome: { type: "lost" },
    }],
  },
  "two answers to one call": {
    planted: [{
      type: "complete",
      id: "chat-1",
      atMs: 9,
      outcome: { type: "lost" },
    }],
  },
};

Given("a sound history", function (this: World) {
  this.events = Object.values(createParts()).flat();
});

Given(
  /^a sound history with (.+)$/,
  function (this: World, name: string) {
    const parts = { ...createParts(), ...violations[name] };
    this.events = Object.values(parts).flat();
  },
);

Given(
  "two calls of one key with different bodies at the same moment",
  function (this: World) {
    this.events = [
      ...createRefund("second", { key: "k", amount: 6 }, fail(keyReusedCode)),
      ...createRefund("first", { key: "k" }),
    ];
  },
);

When("the history is checked", function (this: World) {
  this.report = checkHistory(this.events);
});

Then("no violation is found", function (this: World) {
  assert.deepEqual(this.report.violations, []);
});

Then(
  "only {string} is violated, by {string}",
  function (this: World, check: string, subject: string) {
    const found = this.report.violations.map((entry) => [
      entry.check,
      entry.subject,
    ]);
    assert.deepEqual(found, [[check, subject]]);
  },
);

Then(
  "no line from seed {int} makes the history parser throw an uncoded error",
  (seed: number) => {
    const events = Object.values(createParts()).flat();
    const mutated = fc.tuple(
      fc.constantFrom(...events),
      fc.dictionary(
        fc.constantFrom(
          "type",
          "id",
          "atMs",
          "operation",
          "outcome",
          "version",
        ),
        fc.jsonValue(),
      ),
    ).map(([event, fields]) => JSON.stringify({ ...event, ...fields }));
    fc.assert(
      fc.property(fc.oneof(mutated, fc.string(), fc.json()), (line) => {
        try {
          checkHistory([parseEvent(line, 1)]);
        } catch (error) {
          assert.ok(error instanceof AppError, String(error));
        }
      }),
      { seed, numRuns: 1000 },
    );
  },
);

/** Runs calls one after another on a register and lets their times overlap. */
function simulate(calls: { amount: number; spreadMs: number; fate: number }[]) {
  let body: number | undefined;
  return calls.flatMap(({ amount, spreadMs, fate }, index) => {
    const id = `call-${index}`;
    const atMs = Math.max(0, index * 10 - spreadMs);
    const refund = { key: "k", amount, atMs, endMs: index * 10 + spreadMs };
    if (fate === 0) return createRefund(id, refund, fail(refusedCode));
    const isOther = body !== undefined && body !== amount;
    body ??= amount;
    if (fate === 1) return createRefund(id, refund, { type: "lost" });
    return isOther
      ? createRefund(id, refund, fail(keyReusedCode))
      : createRefund(id, refund);
  });
}

Then(
  "histories of a simulated register from seed {int} have no violation",
  (seed: number) => {
    const call = fc.record({
      amount: fc.integer({ min: 1, max: 2 }),
      spreadMs: fc.integer({ min: 0, max: 40 }),
      fate: fc.integer({ min: 0, max: 4 }),
    });
    fc.assert(
      fc.property(fc.array(call, { maxLength: 9 }), (calls) => {
        assert.deepEqual(checkHistory(simulate(calls)).violations, []);
      }),
      { seed, numRuns: 500 },
    );
  },
);
