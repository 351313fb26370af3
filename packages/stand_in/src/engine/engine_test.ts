import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { type ListeningServer, startServer } from "@jasminetide/runtime/http";
import { type ChatUsage, createAnswerTokens } from "./chat_answer.ts";
import { Engine } from "./engine.ts";
import { createEngineFaults } from "./faults.ts";

type World = {
  standIn: Engine;
  standInServers: ListeningServer[];
  usages: ChatUsage[];
  streamed: StreamResult;
};

/** What a client received of a stream, and whether the connection broke. */
type StreamResult = { text: string; tokens: string[]; isBroken: boolean };

const timers = RealTimerService.create();
const profile = { firstTokenMs: 0, betweenTokensMs: 0.1, importBlockMs: 0 };

async function startEngine(world: World): Promise<Engine> {
  const engine = Engine.create({
    timers,
    models: ["m"],
    profile,
    random: createSeededRandom(3),
  });
  const server = await startServer(
    "127.0.0.1:0",
    (request, response) => void engine.handle(request, response),
  );
  world.standInServers = [...world.standInServers ?? [], server];
  return engine;
}

function createChat(maxTokens: number, model = "m") {
  const content = "a question of some length ".repeat(40);
  const messages = [{ role: "user", content }];
  return { model, messages, max_tokens: maxTokens };
}

function getUrl(world: World, path: string, index = 0): string {
  return `http://${world.standInServers[index].address}${path}`;
}

function post(url: string, body: unknown, init: RequestInit = {}) {
  const text = JSON.stringify(body);
  return fetch(url, { method: "POST", body: text, ...init });
}

async function requestChat(world: World, index = 0): Promise<ChatUsage> {
  const url = getUrl(world, "/v1/chat/completions", index);
  const response = await post(url, createChat(4));
  return (await response.json() as { usage: ChatUsage }).usage;
}

/** Streams a chat to its end, a broken connection or `untilTokens` tokens. */
async function streamChat(
  world: World,
  options: {
    maxTokens: number;
    untilTokens?: number;
    headers?: { [name: string]: string };
  },
): Promise<StreamResult> {
  const { maxTokens, untilTokens = Infinity, headers = {} } = options;
  const streamed: StreamResult = { text: "", tokens: [], isBroken: false };
  try {
    const response = await post(
      getUrl(world, "/v1/chat/completions"),
      { ...createChat(maxTokens), stream: true },
      { headers },
    );
    assert.ok(response.body !== null);
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      streamed.text += decoder.decode(bytes, { stream: true });
      streamed.tokens = [...streamed.text.matchAll(/"content":"([^"]*)"/g)]
        .map(([, token]) => token);
      if (streamed.tokens.length >= untilTokens) break;
    }
  } catch {
    streamed.isBroken = true;
  }
  return streamed;
}

Given("an engine stand-in", async function (this: World) {
  this.standIn = await startEngine(this);
});

After(async function (this: World) {
  for (const server of this.standInServers ?? []) {
    await server[Symbol.asyncDispose]();
  }
});

When("the same long chat is requested twice", async function (this: World) {
  this.usages = [await requestChat(this), await requestChat(this)];
});

Then("the second usage reports cached tokens", function (this: World) {
  const cached = this.usages.map((usage) =>
    usage.prompt_tokens_details.cached_tokens
  );
  assert.equal(cached[0], 0);
  assert.ok(cached[1] > 0.9 * this.usages[1].prompt_tokens);
});

When(
  "the last {int} of {int} answer tokens are requested",
  async function (this: World, last: number, maxTokens: number) {
    const headers = { "x-resume-tokens": String(maxTokens - last) };
    this.streamed = await streamChat(this, { maxTokens, headers });
  },
);

Then(
  "the stream has exactly those {int} tokens and the end marker",
  function (this: World, last: number) {
    const tokens = createAnswerTokens(createChat(8)).slice(-last);
    assert.deepEqual(this.streamed.tokens, tokens);
    assert.ok(this.streamed.text.endsWith("data: [DONE]\n\n"));
  },
);

When(
  "a stream of {int} tokens is cancelled by its id",
  async function (this: World, maxTokens: number) {
    const headers = { "x-request-id": "r1" };
    const response = await post(
      getUrl(this, "/v1/chat/completions"),
      { ...createChat(maxTokens), stream: true },
      { headers },
    );
    assert.equal(response.status, 200);
    const url = getUrl(this, "/v1/chat/completions/r1/cancel");
    assert.equal((await post(url, {})).status, 204);
    assert.equal((await post(url, {})).status, 404);
  },
);

Then("the engine stand-in is idle", function (this: World) {
  assert.equal(this.standIn.running, 0);
});

const standInFaults: { [name: string]: Partial<Engine["faults"]> } = {
  "refuse": { refuse: true },
  "fail before the first byte": { failBeforeFirstByte: true },
  "cut after 2 tokens": { cutAfterTokens: 2 },
  "stall after 2 tokens": { stallAfterTokens: 2 },
};

When(/^the engine has the fault "(.+)"$/, async function (
  this: World,
  name: string,
) {
  const faults = createEngineFaults(standInFaults[name]);
  const body = JSON.stringify(faults);
  const url = getUrl(this, "/faults");
  assert.equal((await fetch(url, { method: "PUT", body })).status, 200);
});

Then(
  "a stream of {int} tokens is refused as not run",
  async function (this: World, maxTokens: number) {
    const { text } = await streamChat(this, { maxTokens });
    assert.match(text, /"executed":"no"/);
  },
);

Then(
  "a stream of {int} tokens breaks without response headers",
  async function (this: World, maxTokens: number) {
    const { text, isBroken } = await streamChat(this, { maxTokens });
    assert.deepEqual([text, isBroken], ["", true]);
  },
);

Then(
  "a stream of {int} tokens breaks after {int} tokens",
  async function (this: World, maxTokens: number, count: number) {
    const { tokens, isBroken } = await streamChat(this, { maxTokens });
    assert.deepEqual([tokens.length, isBroken], [count, true]);
  },
);

Then(
  "a stream of {int} tokens stalls after {int} tokens",
  async function (this: World, maxTokens: number, untilTokens: number) {
    const streamed = await streamChat(this, { maxTokens, untilTokens });
    assert.deepEqual([streamed.tokens.length, streamed.isBroken], [2, false]);
    await new Promise((resolve) => timers.schedule(0, resolve));
    assert.doesNotMatch(streamed.text, /DONE/);
  },
);

When(
  "a chat's blocks are exported and imported by a second engine",
  async function (this: World) {
    await startEngine(this);
    await requestChat(this);
    const held = await (await fetch(getUrl(this, "/kv/blocks"))).json() as {
      blocks: number[];
    };
    const chain = held.blocks.toReversed().join(",");
    const url = getUrl(this, `/kv/export?blocks=${chain}`);
    const exported = await (await fetch(url)).json();
    const { status } = await post(getUrl(this, "/kv/import", 1), exported);
    assert.equal(status, 200);
  },
);

Then("the second engine finds the chat cached", async function (this: World) {
  const { prompt_tokens_details: details } = await requestChat(this, 1);
  assert.ok(details.cached_tokens > 0);
});

When(
  "the engine is ordered to load model {string}",
  async function (this: World, model: string) {
    const version = "2";
    const order = { type: "load-model", model, version, fencingNumber: 3 };
    const { status } = await post(getUrl(this, "/orders"), order);
    assert.equal(status, 200);
  },
);

Then(
  "it serves model {string} and reports its fencing number",
  async function (this: World, model: string) {
    const url = getUrl(this, "/v1/chat/completions");
    assert.equal((await post(url, createChat(1, model))).status, 200);
    assert.equal((await post(url, createChat(1, "none"))).status, 404);
    const state = await (await fetch(getUrl(this, "/state"))).json() as {
      highestFencingNumber: number;
    };
    assert.equal(state.highestFencingNumber, 3);
  },
);
