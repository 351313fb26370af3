import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import * as z from "zod";
import {
  type Fault,
  formatFaults,
  parseConfiguration,
  parseDocument,
} from "./mod.ts";

type World = { text: string; faults: Fault[] };

type Draft = ReturnType<typeof createDraft>;

const hashes = ["a".repeat(64), "b".repeat(64)];
const key = "local-key";

function createDraft() {
  return {
    formatVersion: 1,
    defaults: {} as { [section: string]: { [name: string]: unknown } },
    classes: [{ name: "interactive", priority: 0 }],
    workspaces: [
      { id: "w1", keyHashes: [hashes[0]] },
      { id: "w2", keyHashes: [hashes[1]] },
    ],
    models: [{ name: "assistant" }],
    services: [{ name: "deposit-ledger" }],
    exceptions: [{
      match: { workspace: "w1" } as { [field: string]: string },
      set: { request: { deadlineMs: 1000 } } as {
        [section: string]: { [name: string]: unknown };
      },
      reason: "Travellers wait",
    }],
  };
}

const edits: { [fault: string]: (draft: Draft) => void } = {
  "an unknown default": (draft) => draft.defaults["request"] = { deadline: 1 },
  "an unknown value in an exception": (draft) =>
    draft.exceptions[0].set["request"]["deadline"] = 1,
  "an unknown section in an exception": (draft) =>
    draft.exceptions[0].set["requests"] = {},
  "a bad value in an exception": (draft) =>
    draft.exceptions[0].set["load"] = { capMultiple: 0 },
  "an exception without a reason": (draft) => draft.exceptions[0].reason = " ",
  "an exception that sets nothing": (draft) => draft.exceptions[0].set = {},
  "an exception that matches all": (draft) => draft.exceptions[0].match = {},
  "an exception for an unknown class": (draft) =>
    draft.exceptions[0].match = { class: "none" },
  "an exception for an unknown model": (draft) =>
    draft.exceptions[0].match = { model: "none" },
  "an exception for an unknown service": (draft) =>
    draft.exceptions[0].match = { service: "none" },
  "an exception for an unknown workspace": (draft) =>
    draft.exceptions[0].match = { workspace: "none" },
  "an unknown class by default": (draft) =>
    draft.defaults["request"] = { class: "none" },
  "a key of two workspaces": (draft) =>
    draft.workspaces[1].keyHashes = [hashes[0]],
  "a workspace without keys": (draft) => draft.workspaces[0].keyHashes = [],
  "a workspace declared twice": (draft) => draft.workspaces[1].id = "w1",
  "a key in place of its hash": (draft) =>
    draft.workspaces[0].keyHashes = [key],
};

Given(
  /^a declaration with (an? .+)$/,
  function (this: World, fault: string) {
    const draft = createDraft();
    edits[fault](draft);
    this.text = JSON.stringify(draft);
  },
);

Given("a declaration with three faults", function (this: World) {
  this.text = `{ "formatVersion": 1, "models": [], "services": [],
    "classes": [{ "name": "interactive" }],
    "defaults": { "request": { "deadlineMs": -1 } },
    "workspaces": [], // none yet
    "exceptions": [{ "match": { "host": "h" }, "reason": "",
      "set": { "load": { "capMultiple": 2 } } }] }`;
});

When("the declaration is checked", function (this: World) {
  const result = parseConfiguration(this.text);
  this.faults = result.type === "faulty" ? result.faults : [];
});

Then(
  "the only fault is at {string} and mentions {string}",
  function (this: World, path: string, text: string) {
    assert.deepEqual(this.faults.map((fault) => fault.path), [path]);
    const report = formatFaults(this.faults);
    assert.ok(report.includes(text), report);
    assert.ok(!report.includes(key), "the report contains a key");
  },
);

Then(
  "there are 3 faults, on lines 2, 3 and 5",
  function (this: World) {
    assert.deepEqual(this.faults.map((fault) => fault.line), [2, 3, 5]);
  },
);

Then(
  "no text from seed {int} makes the parsers of documents throw",
  (seed: number) => {
    const json = fc.json({ maxDepth: 5 });
    const deep = fc.integer({ min: 1, max: 20_000 }).map((depth) =>
      "[".repeat(depth)
    );
    const text = fc.oneof(json, deep, fc.string(), mutateDraft());
    fc.assert(
      fc.property(text, (value) => {
        parseConfiguration(value);
        parseDocument(value, { file: "f", schema: z.unknown() });
      }),
      { seed, numRuns: 500 },
    );
  },
);

/** Generates declarations with one value replaced by an arbitrary one. */
function mutateDraft(): fc.Arbitrary<string> {
  const text = JSON.stringify(createDraft());
  const places = [...text.matchAll(/"[^"]*"|\d+/g)];
  return fc.tuple(fc.constantFrom(...places), fc.json()).map(
    ([place, value]) =>
      text.slice(0, place.index) + value +
      text.slice(place.index + place[0].length),
  );
}
