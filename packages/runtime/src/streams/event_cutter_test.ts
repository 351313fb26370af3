import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { EventCutter, eventSeparator } from "./mod.ts";

type World = { cuttingSeed: number; handledBytes: number };

const pieces = fc.array(
  fc.string({ unit: fc.constantFrom("a", "\n"), maxLength: 6 }),
  { maxLength: 30 },
);

When(
  "random events arrive in random pieces, with seed {int}",
  function (this: World, seed: number) {
    this.cuttingSeed = seed;
  },
);

Then(
  "each piece yields what ends with the last whole event",
  function (this: World) {
    const check = (drawn: string[]) => {
      const cutter = EventCutter.create();
      let kept = "";
      for (const each of drawn) {
        kept += each;
        const last = kept.lastIndexOf("\n\n");
        const end = last < 0 ? 0 : last + eventSeparator.length;
        const whole = cutter.append(Buffer.from(each));
        assert.equal(whole.toString(), kept.slice(0, end));
        kept = kept.slice(end);
        assert.equal(cutter.partialBytes, kept.length);
      }
      assert.equal(cutter.takePartial().toString(), kept);
      assert.equal(cutter.partialBytes, 0);
    };
    fc.assert(fc.property(pieces, check), {
      numRuns: 1000,
      seed: this.cuttingSeed,
    });
  },
);

/** Counts the bytes that the functions of buffers search or concatenate. */
function countHandledBytes(run: () => void, limitBytes: number): number {
  const { concat } = Buffer;
  const { lastIndexOf } = Buffer.prototype;
  let handledBytes = 0;
  const count = (bytes: number) => {
    handledBytes += bytes;
    assert.ok(handledBytes <= limitBytes, `${handledBytes} bytes`);
  };
  Buffer.concat = (list, ...rest) => {
    count(list.reduce((sum, each) => sum + each.length, 0));
    return concat(list, ...rest);
  };
  Buffer.prototype.lastIndexOf = function (
    this: Buffer,
    ...args: Parameters<typeof lastIndexOf>
  ) {
    count(this.length);
    return lastIndexOf.apply(this, args);
  };
  try {
    run();
  } finally {
    Buffer.concat = concat;
    Buffer.prototype.lastIndexOf = lastIndexOf;
  }
  return handledBytes;
}

/** Most that a step counts before it fails. */
const countLimitBytes = 256 * 1024 * 1024;

When(
  "{int} MiB of an event arrives in pieces of one byte",
  function (this: World, sizeMib: number) {
    const piece = Buffer.from("a");
    const cutter = EventCutter.create();
    this.handledBytes = countHandledBytes(() => {
      for (let count = 0; count < sizeMib * 1024 * 1024; count++) {
        assert.equal(cutter.append(piece).length, 0);
      }
    }, countLimitBytes);
  },
);

Then(
  "less than {int} MiB were searched or concatenated",
  function (this: World, limitMib: number) {
    assert.ok(this.handledBytes < limitMib * 1024 * 1024);
  },
);
