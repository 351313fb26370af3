import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Then } from "@cucumber/cucumber";
import { Encoder } from "cbor-x";
import fc from "fast-check";
import {
  joinDeclaration,
  listPartHashes,
  splitDeclaration,
} from "./configuration/mod.ts";
import { formatLease, parseLease } from "./leases/mod.ts";
import {
  decodeHead,
  decodeSegment,
  encodeHead,
  encodeSegment,
  parseKey,
} from "./ledger/mod.ts";
import {
  decodeAnswerRecord,
  decodeDigest,
  encodeAnswerRecord,
  encodeDigest,
} from "./membership/mod.ts";
import { AppError } from "./results/mod.ts";

const record = {
  wireId: 7,
  epoch: 3,
  sequence: 2,
  loadTokens: 100,
  capacity: 1,
  isLeaving: false,
  configurationVersion: 5,
  identitySequence: 9,
  ageMs: 100,
};

const identity = {
  type: "sidecar" as const,
  name: "s",
  host: "h",
  failureDomain: "a",
  region: "r",
  controlAddress: "127.0.0.1:1",
  runner: {
    id: "r1",
    kind: "engine" as const,
    pools: ["m"],
    dataAddress: "127.0.0.1:2",
  },
};

const digest = encodeDigest({
  sender: 1,
  configurationVersion: 5,
  records: [record, record],
  loads: [{
    wireId: 7,
    epochTag: 3,
    sequenceTag: 2,
    loadTokens: 100,
    ageMs: 0,
  }],
  wanted: [8],
  identities: [identity],
});

const entry = {
  key: "w k",
  issuedAtMs: 1,
  requestHash: "h",
  recordedAtMs: 2,
  state: "done" as const,
  answer: { status: 200, headers: { a: "b" }, body: Buffer.from("x") },
};

const head = encodeHead({
  owner: { name: "s", epoch: 1 },
  writeId: "1",
  storeEpoch: 0,
  untimedDoubtUntilMs: 0,
  floorMs: 0,
  forgottenThroughMs: 0,
  window: { fromMs: 0, limitMs: 1 },
  doubts: [],
  slots: [],
  entries: [entry],
});

const stored = splitDeclaration(
  { formatVersion: 1, workspaces: [{ id: "w" }], exceptions: [] },
  { maximumUnsplitBytes: 1 },
);

/** A decoder and a valid input. */
type Codec = { sample: Uint8Array; decode: (bytes: Buffer) => unknown };

const codecs: { [message: string]: Codec } = {
  "digest": {
    sample: digest,
    decode: (bytes) => {
      const { configurationVersion, sender } = decodeDigest(bytes);
      assert.ok(Number.isSafeInteger(sender));
      assert.ok(Number.isSafeInteger(configurationVersion));
    },
  },
  "answer record": {
    sample: Buffer.from(encodeAnswerRecord(record), "base64url"),
    decode: (bytes) => decodeAnswerRecord(bytes.toString("base64url"), 7),
  },
  "journal head": {
    sample: Buffer.from(head, "base64"),
    decode: (bytes) => encodeHead(decodeHead(bytes.toString("base64"))),
  },
  "journal segment": {
    sample: Buffer.from(encodeSegment({ entries: [entry] }), "base64"),
    decode: (bytes) => encodeSegment(decodeSegment(bytes.toString("base64"))),
  },
  "idempotency key": {
    sample: Buffer.from("0198c0de-0000-7000-8000-000000000000"),
    decode: (bytes) => parseKey(bytes.toString("latin1")),
  },
  "lease": {
    sample: Buffer.from(formatLease({ fencingNumber: 1, attempt: "a" })),
    decode: (bytes) => parseLease(bytes.toString("utf8")),
  },
  "declaration": {
    sample: Buffer.from(stored.text),
    decode: (bytes) => {
      const text = bytes.toString("utf8");
      listPartHashes(text);
      joinDeclaration({ text, parts: stored.parts });
    },
  },
};

const encoder = new Encoder({ useRecords: false });

/**
 * Generates inputs: the sample with changed bytes or truncated, random bytes,
 * and encoded values of other types.
 */
function drawBytes(sample: Uint8Array): fc.Arbitrary<Buffer> {
  const change = fc.tuple(fc.nat(sample.length - 1), fc.nat(255));
  const changed = fc.array(change, { minLength: 1, maxLength: 4 }).map(
    (changes) => {
      const bytes = Buffer.from(sample);
      for (const [index, byte] of changes) bytes[index] = byte;
      return bytes;
    },
  );
  const cut = fc.nat(sample.length).map((length) =>
    Buffer.from(sample.subarray(0, length))
  );
  const value = fc.jsonValue();
  return fc.oneof(
    changed,
    cut,
    fc.uint8Array().map((bytes) => Buffer.from(bytes)),
    value.map((json) => Buffer.from(JSON.stringify(json))),
    fc.array(value).map((list) => Buffer.from(encoder.encode([1, ...list]))),
    fc.tuple(value, value).map((list) =>
      Buffer.from(encoder.encode([1, ...list, 0, 0, 0, 0]))
    ),
  );
}

Then(
  "no bytes from seed {int} make the decoder of a {string} throw without a result code",
  (seed: number, message: string) => {
    const { decode, sample } = codecs[message];
    decode(Buffer.from(sample));
    fc.assert(
      fc.property(drawBytes(sample), (bytes) => {
        try {
          decode(bytes);
        } catch (error) {
          if (!(error instanceof AppError)) throw error;
        }
      }),
      { seed, numRuns: 2000 },
    );
  },
);
