import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { AppError } from "@jasminetide/core/results";
import fc from "fast-check";
import {
  copyForwardedHeaders,
  formatEnvelope,
  headerNames,
  parseEnvelope,
} from "./mod.ts";

const name = fc.string({ minLength: 1, unit: "grapheme" });
const amount = fc.nat();

const envelope = fc.record({
  attempt: fc.uuid({ version: 7 }),
  epoch: fc.maxSafeNat(),
  workspace: name,
  isIdempotent: fc.boolean(),
  priority: amount,
  weight: fc.double({ min: 0, max: 1000, noNaN: true }),
  costTokens: amount,
  remainingMs: amount,
  pool: name,
  chatKey: fc.stringMatching(/^[0-9a-f]{1,16}$/),
  configurationVersion: amount,
});

Then(
  "envelopes from seed {int} survive formatting and parsing",
  (seed: number) => {
    fc.assert(
      fc.property(envelope, (value) => {
        // Adding 0 turns -0 into 0, since the text form drops the sign.
        const expected = { ...value, weight: value.weight + 0 };
        assert.deepEqual(parseEnvelope(formatEnvelope(value)), expected);
      }),
      { seed, numRuns: 300 },
    );
  },
);

Then(
  "headers with the fleet's prefix from seed {int} are not copied",
  (seed: number) => {
    const own = fc.oneof(
      fc.constantFrom(...Object.values(headerNames)),
      fc.stringMatching(/^jt-[a-z0-9-]{0,12}$/),
    );
    fc.assert(
      fc.property(fc.dictionary(own, fc.string()), (headers) => {
        const copied = copyForwardedHeaders({ ...headers, "x-other": "kept" });
        assert.deepEqual(copied, { "x-other": "kept" });
      }),
      { seed, numRuns: 300 },
    );
  },
);

Then(
  "headers from seed {int} make the parser throw only errors with a code",
  (seed: number) => {
    const header = fc.constantFrom(...Object.values(headerNames));
    const text = fc.oneof(
      fc.string(),
      fc.constantFrom("%E0%A4%A", "%", "-1", "NaN", "1e999", "0x10", ""),
    );
    const overlay = fc.dictionary(header, text);
    fc.assert(
      fc.property(envelope, overlay, (value, headers) => {
        try {
          parseEnvelope({ ...formatEnvelope(value), ...headers });
        } catch (error) {
          assert.ok(error instanceof AppError, String(error));
        }
      }),
      { seed, numRuns: 1000 },
    );
  },
);
