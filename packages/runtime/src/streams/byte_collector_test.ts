import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Then, When } from "@cucumber/cucumber";
import { MemoryPeak } from "@jasminetide/testing/memory_peak";
import fc from "fast-check";
import { ByteCollector } from "./mod.ts";

type World = {
  randomSeed: number;
  collector: ByteCollector;
  collected: MemoryPeak;
};

const pieces = fc.array(
  fc.oneof(
    fc.uint8Array({ maxLength: 3 }),
    fc.uint8Array({ minLength: 500, maxLength: 3000, size: "max" }),
  ),
  { maxLength: 60 },
);

When(
  "bytes are collected in random pieces, with seed {int}",
  function (this: World, seed: number) {
    this.randomSeed = seed;
  },
);

Then("what is taken is what was appended", function (this: World) {
  const check = (drawn: Uint8Array[]) => {
    const buffers = drawn.map((each) => Buffer.from(each));
    const collector = ByteCollector.create();
    for (const each of buffers) collector.append(each);
    const expected = Buffer.concat(buffers);
    assert.equal(collector.sizeBytes, expected.length);
    assert.deepEqual(collector.take(), expected);
    assert.equal(collector.sizeBytes, 0);
  };
  fc.assert(fc.property(pieces, check), { seed: this.randomSeed });
});

When(
  "{int} MiB are collected in pieces of one byte",
  function (this: World, sizeMib: number) {
    const source = Buffer.alloc(64 * 1024);
    this.collected = MemoryPeak.create();
    this.collector = ByteCollector.create();
    for (let count = 0; count < sizeMib * 1024 * 1024; count++) {
      const begin = count % source.length;
      this.collector.append(source.subarray(begin, begin + 1));
    }
    this.collected.observeLive();
  },
);

Then(
  "they occupy at most {int} MiB",
  function (this: World, limitMib: number) {
    this.collected.assertMemoryBelow(limitMib);
  },
);
