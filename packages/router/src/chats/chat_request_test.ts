import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { AppError } from "@jasminetide/core/results";
import { getChatKey } from "@jasminetide/core/routing";
import fc from "fast-check";
import { getCostTokens, parseChatRequest } from "./chat_request.ts";

/** Parses a body and computes its cost and chat key, as `handleChat` does. */
function parseChat(body: Uint8Array): void {
  const { model, messages, ...chat } = parseChatRequest(body);
  getCostTokens({ model, messages, ...chat }, body.length);
  getChatKey({
    workspace: "w",
    model,
    messages: messages.map(({ role, content }) => ({ role, content })),
  });
}

function createNested(depth: number): Uint8Array {
  const content = `${"[".repeat(depth)}${"]".repeat(depth)}`;
  return new TextEncoder().encode(
    `{"model":"m","messages":[{"role":"user","content":${content}}]}`,
  );
}

Then(
  "no chat body from seed {int} makes the router throw an uncoded error",
  (seed: number) => {
    const value = fc.jsonValue({ maxDepth: 4 });
    const chat = fc.record({
      model: fc.oneof(fc.string(), value),
      messages: fc.oneof(
        fc.array(fc.record({ role: fc.string(), content: value })),
        value,
      ),
      stream: fc.oneof(fc.boolean(), value),
      max_tokens: fc.oneof(fc.double(), value),
    }, { requiredKeys: [] });
    const text = fc.oneof(
      chat.map((body) => JSON.stringify(body)),
      fc.string(),
    );
    const body = fc.oneof(
      text.map((content) => new TextEncoder().encode(content)),
      fc.uint8Array(),
      fc.integer({ min: 1, max: 50_000 }).map(createNested),
    );
    fc.assert(
      fc.property(body, (bytes) => {
        try {
          parseChat(bytes);
        } catch (error) {
          assert.ok(error instanceof AppError, String(error));
          assert.notEqual(error.result, "internal");
        }
      }),
      { seed, numRuns: 500 },
    );
  },
);

Then(
  "a chat body nested {int} levels deep is refused with code {int}",
  (depth: number, code: number) => {
    assert.throws(() => parseChat(createNested(depth)), { code });
  },
);

Then("a chat body nested {int} levels deep is parsed", (depth: number) => {
  parseChat(createNested(depth));
});
