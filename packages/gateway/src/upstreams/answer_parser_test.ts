import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { AnswerParser } from "./mod.ts";

type World = {
  drawing: { count: number; drawingSeed: number };
  bodyParts: Buffer[];
  parseError: Error | undefined;
};

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Creates a parser and lists that it fills with what it reads. */
function createParser() {
  const parts: Buffer[] = [];
  const bodies: string[] = [];
  const parser = AnswerParser.create({
    onHead: () => {},
    onBody: (bytes) => parts.push(bytes),
    onComplete: () =>
      bodies.push(Buffer.concat(parts.splice(0)).toString("latin1")),
  }, () => false);
  return { bodies, parser, parts };
}

/** Formats a chunk in one of the ways that are allowed. */
function formatAnyChunk(
  [text, hasExtension, isUpperCase]: readonly [string, boolean, boolean],
): string {
  const size = text.length.toString(16);
  const digits = isUpperCase ? size.toUpperCase() : size;
  return `${digits}${hasExtension ? " ;a=b" : ""}\r\n${text}\r\n`;
}

const chunks = fc.array(
  fc.tuple(
    fc.string({ minLength: 1, maxLength: 40, unit: "binary-ascii" }),
    fc.boolean(),
    fc.boolean(),
  ),
  { maxLength: 12 },
);

const answers = fc.array(chunks, { minLength: 1, maxLength: 3 });
const pieceSizes = fc.infiniteStream(fc.integer({ min: 1, max: 30 }));

When(
  "{int} random answers in chunks arrive in random pieces, with seed {int}",
  function (this: World, count: number, drawingSeed: number) {
    this.drawing = { count, drawingSeed };
  },
);

Then("each body is whole and its answer complete", function (this: World) {
  const { count, drawingSeed } = this.drawing;
  fc.assert(
    fc.property(answers, pieceSizes, (drawn, sizes) => {
      const bytes = Buffer.from(
        drawn.map((each) =>
          `${head}${each.map(formatAnyChunk).join("")}0\r\na: b\r\n\r\n`
        ).join(""),
        "latin1",
      );
      const { bodies, parser } = createParser();
      let begin = 0;
      for (const size of sizes) {
        assert.equal(
          parser.read(bytes.subarray(begin, begin + size)),
          undefined,
        );
        begin += size;
        if (begin >= bytes.length) break;
      }
      assert.deepEqual(
        bodies,
        drawn.map((each) => each.map(([text]) => text).join("")),
      );
    }),
    { seed: drawingSeed, numRuns: count },
  );
});

When(
  "a body of {int} chunks of one byte arrives in {int} reads",
  function (this: World, count: number, reads: number) {
    const { parser, parts } = createParser();
    const bytes = Buffer.from("1\r\na\r\n".repeat(count));
    parser.read(Buffer.from(head));
    for (let index = 0; index < reads; index++) {
      const begin = Math.floor(bytes.length * index / reads);
      const end = Math.floor(bytes.length * (index + 1) / reads);
      parser.read(bytes.subarray(begin, end));
    }
    assert.equal(Buffer.concat(parts).length, count);
    this.bodyParts = parts;
  },
);

Then(
  "parts of a body are handed over {int} times",
  function (this: World, count: number) {
    assert.equal(this.bodyParts.length, count);
  },
);

When(
  "a body in chunks begins with {string}",
  function (this: World, bytes: string) {
    const { parser } = createParser();
    const text = bytes.replaceAll("\\r", "\r").replaceAll("\\n", "\n");
    this.parseError = parser.read(Buffer.from(head + text));
  },
);

Then("the parser refuses it", function (this: World) {
  assert.ok(this.parseError);
});
