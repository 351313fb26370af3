import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import type { RunnerRow } from "../tables/mod.ts";
import {
  applyHostList,
  createMembershipTables,
  decodeAnswerRecord,
  decodeDigest,
  defaultMembershipLimits,
  type Digest,
  type DigestRecord,
  encodeAnswerRecord,
  encodeDigest,
  getPoolMean,
  getWireId,
  isHeldDown,
  isLeaving,
  loadBytes,
  type MemberIdentity,
  type MembershipTables,
  mergeIdentity,
  mergeRecord,
  mergeRecordWithIdentity,
  recordBytes,
} from "./mod.ts";

type World = { tables: MembershipTables; nowMs: number; runners: RunnerRow[] };

const identity: MemberIdentity = {
  type: "sidecar",
  name: "sidecar-a",
  host: "host-a",
  failureDomain: "domain-a",
  region: "region-a",
  controlAddress: "127.0.0.1:1",
  runner: {
    id: "runner-a",
    kind: "engine",
    pools: ["model"],
    dataAddress: "127.0.0.1:2",
  },
};
const wireId = getWireId(identity);
const startMs = 1_000_000;

function createTables(): MembershipTables {
  const tables = createMembershipTables({
    identity: { ...identity, type: "router", name: "router-a" },
    epoch: 1,
    capacity: 1,
    // The default maximum would cap the hold-down after a few flaps.
    limits: { ...defaultMembershipLimits, maximumHoldDownMs: 60_000 },
    nowMs: startMs,
  });
  mergeIdentity(tables, identity);
  return tables;
}

function createRecord(fields: Partial<DigestRecord>): DigestRecord {
  return {
    wireId,
    epoch: 5,
    sequence: 1,
    loadTokens: 0,
    capacity: 1,
    isLeaving: false,
    configurationVersion: 0,
    identitySequence: 0,
    ageMs: 0,
    ...fields,
  };
}

const recordArbitrary = fc.record({
  epoch: fc.integer({ min: 1, max: 3 }),
  sequence: fc.integer({ min: 1, max: 4 }),
  isLeaving: fc.boolean(),
}).map((fields) =>
  // A member announces one load per sequence.
  createRecord({ ...fields, loadTokens: fields.epoch * 10 + fields.sequence })
);

function mergeAll(records: DigestRecord[]) {
  const tables = createTables();
  for (const record of records) mergeRecord(tables, record, startMs);
  const member = tables.members.get(wireId);
  assert.ok(member !== undefined);
  return { record: member.record, isLeaving: isLeaving(member) };
}

Then(
  "merging {int} random sets of records in any order gives the same member, " +
    "seed {int}",
  function (numRuns: number, seed: number) {
    const sets = fc.array(recordArbitrary, { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(sets, (records) => {
        const { epoch } = mergeAll(records).record;
        const hasLeavingRecord = records.some((record) =>
          record.epoch === epoch && record.isLeaving
        );
        const merged = mergeAll(records);
        assert.deepEqual(mergeAll([...records].reverse()), merged);
        assert.deepEqual(mergeAll([...records, ...records]), merged);
        assert.equal(merged.isLeaving, hasLeavingRecord);
      }),
      { seed, numRuns },
    );
  },
);

const uint32 = fc.integer({ min: 0, max: 0xffffffff });
const digestArbitrary: fc.Arbitrary<Digest> = fc.record({
  sender: uint32,
  configurationVersion: uint32,
  records: fc.array(fc.record({
    wireId: uint32,
    epoch: fc.maxSafeNat(),
    sequence: uint32,
    loadTokens: fc.constant(0),
    capacity: fc.integer({ min: 1, max: 8 }),
    isLeaving: fc.boolean(),
    configurationVersion: uint32,
    identitySequence: uint32,
    ageMs: fc.integer({ min: 0, max: 255 }).map((units) => units * 100),
  }, { noNullPrototype: true })),
  loads: fc.constant([]),
  wanted: fc.array(uint32),
  identities: fc.constantFrom([], [identity]),
}, { noNullPrototype: true });

Then(
  "{int} random digests are unchanged by encoding and decoding, seed {int}",
  function (numRuns: number, seed: number) {
    fc.assert(
      fc.property(
        digestArbitrary,
        (digest) =>
          assert.deepEqual(decodeDigest(encodeDigest(digest)), digest),
      ),
      { seed, numRuns },
    );
  },
);

Then(
  "a load record takes at most {int} bytes in a digest and a full record {int}",
  function (load: number, record: number) {
    assert.deepEqual([loadBytes, recordBytes], [load, record]);
    const empty = fc.sample(digestArbitrary, { numRuns: 1, seed: 1 })[0];
    const count = (digest: Partial<Digest>) =>
      encodeDigest({ ...empty, ...digest }).length;
    const records = Array.from({ length: 11 }, () => createRecord({}));
    const loads = records.map((entry) => ({
      ...entry,
      epochTag: 1,
      sequenceTag: 1,
    }));
    const tenRecords = count({ records }) -
      count({ records: records.slice(0, 1) });
    const tenLoads = count({ loads }) - count({ loads: loads.slice(0, 1) });
    assert.ok(tenRecords <= 10 * record + 8);
    assert.ok(tenLoads <= 10 * load + 5);
  },
);

Then(
  "decoding malformed bytes fails with the result invalidMessage",
  function () {
    for (const bytes of [[], [0x80], [1, 2, 3], [0x85, 1, 2, 3, 4, 5]]) {
      assert.throws(
        () => decodeDigest(Uint8Array.from(bytes)),
        { result: "invalidMessage" },
      );
    }
  },
);

Given("a member at epoch {int}", function (this: World, epoch: number) {
  this.nowMs = startMs;
  this.tables = createTables();
  mergeRecord(this.tables, createRecord({ epoch }), this.nowMs);
});

When("the host list marks it as leaving", function (this: World) {
  applyHostList(this.tables, [{ identity, capacity: 1, state: "leaving" }]);
});

When(
  "a record of epoch {int} and sequence {int} that is not leaving is merged",
  function (this: World, epoch: number, sequence: number) {
    mergeRecord(this.tables, createRecord({ epoch, sequence }), this.nowMs);
  },
);

Then(/^the member is (leaving|active)$/, function (this: World, state: string) {
  assert.equal(this.tables.runners.get("runner-a")?.state, state);
});

When(
  "it restarts with a new epoch once a second for {int} seconds",
  function (this: World, seconds: number) {
    for (let second = 1; second <= seconds; second++) {
      this.nowMs += 1000;
      const epoch = 5 + second;
      mergeRecord(this.tables, createRecord({ epoch }), this.nowMs);
    }
  },
);

Then(
  "it is held down for {int} seconds",
  function (this: World, seconds: number) {
    const endMs = this.nowMs + seconds * 1000;
    assert.ok(isHeldDown(this.tables, "runner-a", endMs - 1));
    assert.ok(!isHeldDown(this.tables, "runner-a", endMs));
  },
);

Then("a member that has only joined is not held down", function () {
  const tables = createTables();
  mergeRecord(tables, createRecord({}), startMs);
  assert.ok(!isHeldDown(tables, "runner-a", startMs));
});

Given(
  "runners with loads {int} and {int}, and one with load {int} recorded " +
    "{int} s ago",
  function (
    this: World,
    left: number,
    right: number,
    old: number,
    ageS: number,
  ) {
    const createRow = (loadTokens: number, ageMs: number) => {
      const tables = createTables();
      mergeRecord(tables, createRecord({ loadTokens, ageMs }), startMs);
      return [...tables.runners.rows()][0];
    };
    this.runners = [
      createRow(left, 0),
      createRow(right, 2000),
      createRow(old, ageS * 1000),
    ];
  },
);

Then(
  "the mean load is {int}, {int} s old, with {int} stale runner",
  function (this: World, tokens: number, ageS: number, stale: number) {
    const mean = getPoolMean(this.runners, {
      pools: ["model"],
      nowMs: startMs,
      staleAfterMs: 10_000,
      publishRatio: 0.05,
      publishTokens: 256,
    });
    assert.deepEqual(mean, {
      tokens,
      ageMs: ageS * 1000,
      errorTokens: 256,
      runners: 2,
      stale,
    });
  },
);

Then(
  "a record decoded from an answer's header equals the encoded one",
  function () {
    const record = createRecord({ epoch: 1.7e15, loadTokens: 12_345 });
    const text = encodeAnswerRecord(record);
    assert.ok(text.length <= 44);
    assert.deepEqual(decodeAnswerRecord(text, wireId), record);
    assert.throws(() => decodeAnswerRecord("!!", wireId), {
      result: "invalidMessage",
    });
  },
);

function createIdentity(pools: string[]): MemberIdentity {
  const { runner } = identity;
  assert.ok(runner !== undefined);
  return { ...identity, runner: { ...runner, pools } };
}

When(
  "it announces pool {string} at sequence {int} and loads up to sequence {int}",
  function (this: World, pool: string, sequence: number, last: number) {
    const record = createRecord({ sequence, identitySequence: sequence });
    const update = { identity: createIdentity([pool]), record };
    mergeRecordWithIdentity(this.tables, update, this.nowMs);
    mergeRecord(
      this.tables,
      createRecord({ sequence: last, identitySequence: sequence }),
      this.nowMs,
    );
  },
);

When(
  "an outdated identity with pool {string} arrives at sequence {int}",
  function (this: World, pool: string, sequence: number) {
    const record = createRecord({ sequence, identitySequence: 0 });
    const update = { identity: createIdentity([pool]), record };
    mergeRecordWithIdentity(this.tables, update, this.nowMs);
  },
);

Then("its runner serves pool {string}", function (this: World, pool: string) {
  assert.deepEqual(this.tables.runners.get("runner-a")?.pools, [pool]);
});
