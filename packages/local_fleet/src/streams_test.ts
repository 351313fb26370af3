import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createAnswerTokens } from "@jasminetide/stand_in";
import { FaultLink } from "@jasminetide/testing";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl, startTestFleet } from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  links: Map<string, FaultLink>;
  streamed: string;
  expectedTokens: string[];
  completeChats: number;
};

Given(
  "a local fleet with fault links in front of its sidecars",
  async function (this: World) {
    this.links = new Map();
    this.fleet = await startTestFleet({
      linkSidecar: async (runner, getTarget) => {
        const link = await FaultLink.create({ getTarget });
        this.links.set(runner, link);
        return link.address;
      },
    });
  },
);

After(async function (this: World) {
  for (const link of this.links?.values() ?? []) {
    await link[Symbol.asyncDispose]();
  }
});

/** Streams a chat; calls `act` once `actAfter` tokens have arrived. */
async function streamChat(
  world: World,
  options: { tokens: number; actAfter?: number; act?: () => void },
): Promise<void> {
  const chat = {
    model: "assistant",
    messages: [{ role: "user", content: `count ${options.tokens}` }],
    max_tokens: options.tokens,
    stream: true,
  };
  world.expectedTokens = createAnswerTokens(chat);
  const response = await fetch(getUrl(world.fleet, "/v1/chat/completions"), {
    method: "POST",
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify(chat),
  });
  world.streamed = "";
  let hasActed = false;
  for await (const chunk of response.body ?? []) {
    world.streamed += Buffer.from(chunk).toString("utf8");
    if (hasActed || options.act === undefined) continue;
    if (getTokens(world).length < (options.actAfter ?? 0)) continue;
    hasActed = true;
    options.act();
  }
}

function getTokens(world: World): string[] {
  return [...world.streamed.matchAll(/"content":"([^"]*)"/g)].map((match) =>
    match[1]
  );
}

const linkFaults: { [name: string]: (world: World) => void } = {
  "all connections go silent": (world) => {
    for (const link of world.links.values()) link.silenceOpen();
  },
  "all connections are cut": (world) => {
    for (const link of world.links.values()) link.cutOpen();
  },
  "the runner of the stream is lost": (world) => {
    for (const [runner, engine] of world.fleet.engines) {
      if (engine.running > 0) loseRunner(world, runner);
    }
  },
  "all runners are lost": (world) => {
    for (const runner of world.links.keys()) loseRunner(world, runner);
  },
};

function loseRunner(world: World, runner: string): void {
  const link = world.links.get(runner);
  link?.refuse(true);
  link?.cutOpen();
}

When(
  /^a caller streams (\d+) tokens and (.+) after (\d+) of them$/,
  async function (this: World, tokens: string, fault: string, after: string) {
    await streamChat(this, {
      tokens: Number(tokens),
      actAfter: Number(after),
      act: () => linkFaults[fault](this),
    });
  },
);

When(
  "a caller streams {int} tokens",
  async function (this: World, tokens: number) {
    await streamChat(this, { tokens });
  },
);

Then(
  "the caller has all {int} tokens, each once, and the end mark",
  function (this: World, count: number) {
    assert.deepEqual(getTokens(this), this.expectedTokens);
    assert.equal(this.expectedTokens.length, count);
    assert.match(this.streamed, /data: \[DONE\]\n\n$/);
  },
);

Then(
  "the stream ends with an error event and no end mark",
  function (this: World) {
    const last = this.streamed.trimEnd().split("\n\n").at(-1) ?? "";
    const event = JSON.parse(last.replace("data: ", ""));
    assert.equal(typeof event.error.message, "string");
    assert.ok(!this.streamed.includes("[DONE]"));
  },
);

Given(
  /^each engine (stalls|cuts) after (\d+) tokens of its next request$/,
  function (this: World, fault: string, tokens: string) {
    for (const engine of this.fleet.engines.values()) {
      engine.faults.requests = 1;
      if (fault === "stalls") engine.faults.stallAfterTokens = Number(tokens);
      else engine.faults.cutAfterTokens = Number(tokens);
    }
  },
);

/** Applies `change` to the first chunk that it alters, and to no other. */
function changeOnce(
  world: World,
  change: (text: string) => string,
): void {
  let isChanged = false;
  for (const link of world.links.values()) {
    link.setFilter((bytes) => {
      const text = Buffer.from(bytes).toString("latin1");
      const changed = isChanged ? text : change(text);
      isChanged ||= changed !== text;
      return Buffer.from(changed, "latin1");
    });
  }
}

Given(
  "the links replace the attempt id of the next answer",
  function (this: World) {
    const other = "00000000-0000-7000-8000-000000000000";
    changeOnce(
      this,
      (text) =>
        text.replace(/jt-attempt: [0-9a-f-]{36}/, `jt-attempt: ${other}`),
    );
  },
);

Given(
  "the links duplicate the {int}th chunk of the next answer",
  function (this: World, position: number) {
    let chunks = 0;
    changeOnce(this, (text) => {
      if (!/^[0-9a-f]+\r\ndata: /.test(text)) return text;
      chunks += 1;
      return chunks === position ? text + text : text;
    });
  },
);

Then(
  "router {int} has counted {string}",
  function (this: World, router: number, name: string) {
    const { counters } = this.fleet.routers[router - 1].getMetrics();
    assert.ok((counters[name] ?? 0) > 0);
  },
);

Then("a sidecar has counted {string}", function (this: World, name: string) {
  const counts = this.fleet.sidecars.map((sidecar) =>
    sidecar.getMetrics().counters[name] ?? 0
  );
  assert.ok(counts.some((count) => count > 0));
});

Given("the links drop the next request", function (this: World) {
  let isDropped = false;
  for (const link of this.links.values()) {
    link.setRequestFilter((bytes) => {
      const isRequest = Buffer.from(bytes).includes("POST /deposit-ledger");
      if (isDropped || !isRequest) return bytes;
      isDropped = true;
      return new Uint8Array(0);
    });
  }
});

When(
  "a caller refunds {int} to account {string} without a key",
  async function (this: World, amount: number, account: string) {
    const response = await fetch(
      getUrl(this.fleet, "/deposit-ledger/refunds"),
      {
        method: "POST",
        headers: { authorization: `Bearer ${callerKey}` },
        body: JSON.stringify({ account, amount }),
      },
    );
    assert.equal(response.status, 201, await response.text());
  },
);

Then(
  "account {string} has been refunded {int} once",
  function (this: World, account: string, amount: number) {
    assert.equal(this.fleet.deposits.balances.get(account), -amount);
  },
);

Given(
  "{int} of the engines refuse every request",
  function (this: World, count: number) {
    const engines = [...this.fleet.engines.values()].slice(0, count);
    for (const engine of engines) engine.faults.refuse = true;
  },
);

When(
  "a caller streams {int} chats of {int} tokens or more in sequence",
  async function (this: World, chats: number, tokens: number) {
    this.completeChats = 0;
    for (let turn = 0; turn < chats; turn++) {
      await streamChat(this, { tokens: tokens + turn });
      const isComplete = this.streamed.endsWith("data: [DONE]\n\n") &&
        getTokens(this).join() === this.expectedTokens.join();
      if (isComplete) this.completeChats += 1;
    }
  },
);

Then(
  "each of the {int} chats is complete",
  function (this: World, chats: number) {
    assert.equal(this.completeChats, chats);
  },
);
