import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Problem } from "@jasminetide/core/results";
import { createAnswerTokens } from "@jasminetide/stand_in";
import OpenAI from "openai";
import type { LocalFleet } from "./local_fleet.ts";
import {
  callerKey as key,
  getUrl,
  startTestFleet,
  waitUntil,
} from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  text: string;
  expected: string;
  response: Response;
};

function createClient(world: World): OpenAI {
  return new OpenAI({
    apiKey: key,
    baseURL: getUrl(world.fleet, "/v1"),
    maxRetries: 0,
  });
}

function createChat(maxTokens: number) {
  return {
    model: "assistant",
    messages: [{ role: "user" as const, content: `say ${maxTokens}` }],
    max_tokens: maxTokens,
  };
}

Given("a local fleet", async function (this: World) {
  this.fleet = await startTestFleet();
});

After(async function (this: World) {
  await this.fleet?.[Symbol.asyncDispose]();
});

When(
  "a caller streams a chat of {int} answer tokens",
  async function (this: World, maxTokens: number) {
    const chat = createChat(maxTokens);
    this.expected = createAnswerTokens(chat).join("");
    const stream = await createClient(this).chat.completions.create({
      ...chat,
      stream: true,
    });
    this.text = "";
    for await (const chunk of stream) {
      this.text += chunk.choices[0].delta.content ?? "";
    }
  },
);

When(
  "a caller requests a chat of {int} answer tokens",
  async function (this: World, maxTokens: number) {
    const chat = createChat(maxTokens);
    this.expected = createAnswerTokens(chat).join("");
    const answer = await createClient(this).chat.completions.create(chat);
    this.text = answer.choices[0].message.content ?? "";
  },
);

Then(
  "the caller has the {int} tokens that only its request yields",
  function (this: World, count: number) {
    assert.equal(this.text.trim().split(" ").length, count);
    assert.equal(this.text, this.expected);
  },
);

type Fault = { path?: string; key?: string; body: string; timeout?: string };

const faults: { [name: string]: Fault } = {
  "a chat without a key": { key: "", body: JSON.stringify(createChat(1)) },
  "a chat with a wrong key": {
    key: "wrong",
    body: JSON.stringify(createChat(1)),
  },
  "a chat that is not JSON": { body: "{" },
  "a chat without messages": { body: '{"model":"assistant"}' },
  "a chat for an unknown model": {
    body: JSON.stringify({ ...createChat(1), model: "none" }),
  },
  "a chat with a bad deadline": {
    body: JSON.stringify(createChat(1)),
    timeout: "soon",
  },
  "a chat that is too large": { body: "x".repeat(2_000_000) },
  "a call to an unknown service": { path: "/none/x", body: "" },
};

When(/^a caller sends (a .+)$/, async function (this: World, name: string) {
  const fault = faults[name];
  const headers: Record<string, string> = {};
  if (fault.key !== "") headers["authorization"] = `Bearer ${fault.key ?? key}`;
  if (fault.timeout !== undefined) {
    headers["x-request-timeout-ms"] = fault.timeout;
  }
  this.response = await fetch(
    getUrl(this.fleet, fault.path ?? "/v1/chat/completions"),
    { method: "POST", headers, body: fault.body },
  );
});

Then(
  "the answer has status {int}, code {int} and executed {string}",
  async function (
    this: World,
    status: number,
    code: number,
    executed: string,
  ) {
    const problem = await this.response.json() as Problem;
    assert.deepEqual(
      [this.response.status, problem.code, problem.executed],
      [status, code, executed],
    );
  },
);

When(
  "a caller disconnects in the middle of a stream",
  async function (this: World) {
    const stream = await createClient(this).chat.completions.create({
      ...createChat(100_000),
      stream: true,
    });
    for await (const _chunk of stream) break;
    stream.controller.abort();
  },
);

Then("no engine runs a request", async function (this: World) {
  const engines = [...this.fleet.engines.values()];
  await waitUntil(() => engines.every((engine) => engine.running === 0));
});

When(
  "a caller refunds {int} to account {string} through router {int}",
  async function (
    this: World,
    amount: number,
    account: string,
    router: number,
  ) {
    const response = await fetch(
      getUrl(this.fleet, "/deposit-ledger/refunds", router),
      {
        method: "POST",
        headers: { authorization: `Bearer ${key}` },
        body: JSON.stringify({ account, amount }),
      },
    );
    assert.equal(response.status, 201);
  },
);

Then(
  "the balance of account {string} is {int} through router {int}",
  async function (
    this: World,
    account: string,
    balance: number,
    router: number,
  ) {
    const response = await fetch(
      getUrl(this.fleet, `/deposit-ledger/balances/${account}`, router),
      { headers: { authorization: `Bearer ${key}` } },
    );
    assert.deepEqual(await response.json(), { account, balance });
  },
);
