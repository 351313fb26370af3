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
  outcome: Outcome = createAnswer("a1", refund.amount ?? 5),
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

function createAnswer(account: string, refunded: number): Outcome {
  const text = JSON.stringify({ account, refunded, balance: -refunded });
  return { type: "answered", answer: text };
}

function createFailure(
  code: number,
  executed: "no" | "unknown" = "no",
): Outcome {
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

function createConfiguration(version: number, atMs: number): HistoryEvent {
  return { type: "configuration", process: "router-1", atMs, version };
}

function createEffect(key: string): HistoryEvent {
  return { type: "effect", runner: "r", key };
}

/** Named sections of a valid history; an injected violation replaces some. */
function createValidHistory() {
  return {
    header: [{ type: "header", formatVersion: 1, effects: "all" }],
    chat: createChat("t1-0 t1-1 t1-2 "),
    lookup: createLookup("a1"),
    refund: createRefund("refund-1", { key: "key-1" }),
    effect: [createEffect("key-1")],
    refused: createRefund(
      "refund-2",
      { key: "key-2" },
      createFailure(refusedCode),
    ),
    lost: createRefund("refund-3", { key: "key-3" }, { type: "lost" }),
    again: createRefund("refund-4", { key: "key-1", atMs: 5 }),
    configurations: [
      createConfiguration(1, 1),
      createConfiguration(0, 2),
      createConfiguration(2, 3),
    ],
    injected: [],
  } as { [section: string]: HistoryEvent[] };
}

const laterRefund = { key: "key-1", atMs: 9 };

const violations: {
  [name: string]: { [section: string]: HistoryEvent[] };
} = {
  "a refund that took effect twice": { injected: [createEffect("key-1")] },
  "an effect of a refund reported as not run": {
    injected: [createEffect("key-2")],
  },
  "a chat that ran though reported as not run": {
    injected: [
      ...createChat("", "chat-2", createFailure(refusedCode)),
      createEffect("chat-2"),
    ],
  },
  "an answered refund without effect": { effect: [] },
  "an answer of another chat": { chat: createChat("t1-0 t2-1 t1-2 ") },
  "a truncated answer": { chat: createChat("t1-0 t1-1 ") },
  "an answer with a repeated token": { chat: createChat("t1-0 t1-0 t1-1 ") },
  "a balance of another account": { lookup: createLookup("a2") },
  "a process that reverts to an older version": {
    injected: [createConfiguration(1, 9)],
  },
  "a second answer that differs for a key": {
    injected: createRefund("refund-5", laterRefund, {
      type: "answered",
      answer: JSON.stringify({ account: "a1", refunded: 5, balance: -10 }),
    }),
  },
  "a different body answered for a key": {
    injected: createRefund("refund-5", { ...laterRefund, amount: 6 }),
  },
  "a key refused as used before its first use": {
    injected: createRefund(
      "refund-5",
      { key: "key-4" },
      createFailure(keyReusedCode),
    ),
  },
  "an outcome of a call that was never sent": {
    injected: [{
      type: "complete",
      id: "chat-9",
      atMs: 1,
      outcome: { type: "lost" },
    }],
  },
  "two outcomes of one call": {
    injected: [{
      type: "complete",
      id: "chat-1",
      atMs: 9,
      outcome: { type: "lost" },
    }],
  },
};

Given("a valid history", function (this: World) {
  this.events = Object.values(createValidHistory()).flat();
});

Given(
  /^a valid history with (.+)$/,
  function (this: World, name: string) {
    const sections = { ...createValidHistory(), ...violations[name] };
    this.events = Object.values(sections).flat();
  },
);

Given(
  "two concurrent calls of one key with different bodies",
  function (this: World) {
    this.events = [
      ...createRefund(
        "second",
        { key: "k", amount: 6 },
        createFailure(keyReusedCode),
      ),
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
  "no line from seed {int} makes the parser throw an error without a code",
  (seed: number) => {
    const events = Object.values(createValidHistory()).flat();
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

/** Runs calls in sequence on a register and records overlapping times. */
function simulate(
  calls: { amount: number; spreadMs: number; outcomeChoice: number }[],
) {
  let body: number | undefined;
  return calls.flatMap(({ amount, spreadMs, outcomeChoice }, index) => {
    const id = `call-${index}`;
    const atMs = Math.max(0, index * 10 - spreadMs);
    const refund = { key: "k", amount, atMs, endMs: index * 10 + spreadMs };
    if (outcomeChoice === 0) {
      return createRefund(id, refund, createFailure(refusedCode));
    }
    const isKeyReused = body !== undefined && body !== amount;
    body ??= amount;
    if (outcomeChoice === 1) return createRefund(id, refund, { type: "lost" });
    return isKeyReused
      ? createRefund(id, refund, createFailure(keyReusedCode))
      : createRefund(id, refund);
  });
}

Then(
  "histories of a simulated register from seed {int} have no violations",
  (seed: number) => {
    const call = fc.record({
      amount: fc.integer({ min: 1, max: 2 }),
      spreadMs: fc.integer({ min: 0, max: 40 }),
      outcomeChoice: fc.integer({ min: 0, max: 4 }),
    });
    fc.assert(
      fc.property(fc.array(call, { maxLength: 9 }), (calls) => {
        assert.deepEqual(checkHistory(simulate(calls)).violations, []);
      }),
      { seed, numRuns: 500 },
    );
  },
);
