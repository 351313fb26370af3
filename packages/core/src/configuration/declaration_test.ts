import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  acceptConfiguration,
  compareConfigurations,
  hashText,
  joinDeclaration,
  type Json,
  type JsonObject,
  listPartHashes,
  splitDeclaration,
  type StoredDeclaration,
} from "./mod.ts";

type World = {
  body: JsonObject;
  stored: StoredDeclaration;
  mine: JsonObject;
  theirs: JsonObject;
};

function createBody(workspaces: number): JsonObject {
  return {
    formatVersion: 1,
    defaults: { load: { capMultiple: 1.25 } },
    classes: [{ name: "interactive", priority: 0 }],
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      id: `workspace-${index}`,
      keyHashes: [hashText(String(index))],
    })),
    models: [],
    services: [],
    exceptions: [],
  };
}

function accept(stored: StoredDeclaration, hash = hashText(stored.text)) {
  return acceptConfiguration({ ...stored, version: 1, hash });
}

const entry = fc.record({
  id: fc.string(),
  value: fc.jsonValue() as fc.Arbitrary<Json>,
}, { noNullPrototype: true });

Then(
  "{int} random declarations are unchanged by splitting and joining, seed {int}",
  function (numRuns: number, seed: number) {
    const list = fc.array(entry, { maxLength: 40 });
    fc.assert(
      fc.property(list, list, fc.string(), (workspaces, exceptions, extra) => {
        const body = { workspaces, exceptions, extra, defaults: {} };
        const stored = splitDeclaration(body, {
          maximumUnsplitBytes: 100,
          meanPartEntries: 4,
        });
        const expected = JSON.parse(JSON.stringify(body)) as Json;
        assert.deepEqual(joinDeclaration(stored), expected);
      }),
      { seed, numRuns },
    );
  },
);

Given(
  "a declaration of {int} workspaces",
  function (this: World, workspaces: number) {
    this.body = createBody(workspaces);
    this.stored = splitDeclaration(this.body);
  },
);

When("the keys of one workspace change", function (this: World) {
  const workspaces = this.body["workspaces"] as JsonObject[];
  const middle = Math.floor(workspaces.length / 2);
  workspaces[middle] = { ...workspaces[middle], keyHashes: [hashText("new")] };
});

Then(
  "{int} part and the manifest change, below {int} bytes together",
  function (this: World, count: number, limitBytes: number) {
    const after = splitDeclaration(this.body);
    const changed = [...after.parts].filter(([hash]) =>
      !this.stored.parts.has(hash)
    );
    assert.equal(changed.length, count);
    const bytes = changed.reduce((sum, [, text]) => sum + text.length, 0) +
      after.text.length;
    assert.ok(bytes < limitBytes, `${bytes} bytes`);
  },
);

Then(
  "a process that uses no workspaces needs at most {int} parts",
  function (this: World, count: number) {
    assert.ok(listPartHashes(this.stored.text).length > count);
    const hashes = listPartHashes(this.stored.text, ["exceptions"]);
    assert.ok(hashes.length <= count);
    const parts = new Map(
      hashes.map((hash) => [hash, this.stored.parts.get(hash) ?? ""]),
    );
    const stored = { text: this.stored.text, parts };
    assert.deepEqual(
      joinDeclaration(stored, ["exceptions"])["workspaces"],
      [],
    );
  },
);

Given("a declaration with fields of a newer version", function (this: World) {
  this.body = {
    ...createBody(1),
    quantum: { level: 9 },
    exceptions: [
      {
        match: { planet: "mars" },
        set: { load: { capMultiple: 2 } },
        reason: "Unknown here",
      },
      {
        match: { workspace: "workspace-0" },
        set: { load: { capMultiple: 3 } },
        reason: "Known here",
        since: "tomorrow",
      },
    ],
  };
  this.stored = splitDeclaration(this.body);
});

Then(
  "it can be parsed, without the exception that has an unknown match",
  function (this: World) {
    const { exceptions } = accept(this.stored).body;
    assert.deepEqual(exceptions.map(({ reason }) => reason), ["Known here"]);
  },
);

Then("its stored text still has the fields", function (this: World) {
  assert.deepEqual(JSON.parse(accept(this.stored).text), this.body);
});

Then(
  "a changed text, a changed part and an absent part are refused",
  function (this: World) {
    const { parts, text } = this.stored;
    const [hash] = listPartHashes(text, ["workspaces"]).slice(1);
    const changed = new Map(parts).set(hash, "[]");
    const absent = new Map(parts);
    absent.delete(hash);
    accept(this.stored);
    const refusal = { result: "hashMismatch" };
    const wrongText = { text: `${text} `, parts };
    assert.throws(() => accept(wrongText, hashText(text)), refusal);
    assert.throws(() => accept({ text, parts: changed }), refusal);
    assert.throws(() => accept({ text, parts: absent }), refusal);
  },
);

Given(
  "a base declaration that two editors change",
  function (this: World) {
    this.body = createBody(3);
    this.mine = structuredClone(this.body);
    this.theirs = structuredClone(this.body);
  },
);

const exception = {
  match: { workspace: "workspace-1" },
  set: { load: { capMultiple: 2 } },
  reason: "Large events",
};

When(
  "one changes a key of a workspace and the other adds an exception",
  function (this: World) {
    const [first] = this.mine["workspaces"] as JsonObject[];
    first["keyHashes"] = [hashText("new")];
    this.theirs["exceptions"] = [exception];
  },
);

Then(
  "the comparison lists both changes and merges them",
  function (this: World) {
    const { differences, merged } = compareConfigurations(this.body, this);
    assert.deepEqual(
      differences.map(({ changedBy, path }) => [changedBy, path]),
      [
        ["mine", "workspaces[workspace-0].keyHashes"],
        ["theirs", 'exceptions[{"workspace":"workspace-1"}]'],
      ],
    );
    assert.deepEqual(merged, { ...this.mine, exceptions: [exception] });
  },
);

When(
  "both change the same default in different ways",
  function (this: World) {
    this.mine["defaults"] = { load: { capMultiple: 1.5 } };
    this.theirs["defaults"] = { load: { capMultiple: 2 } };
  },
);

Then(
  "the comparison lists the conflict with all three values",
  function (this: World) {
    const { differences, merged } = compareConfigurations(this.body, this);
    assert.equal(merged, undefined);
    assert.deepEqual(differences, [{
      path: "defaults.load.capMultiple",
      changedBy: "conflict",
      base: 1.25,
      mine: 1.5,
      theirs: 2,
    }]);
  },
);
