import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Sidecar } from "@jasminetide/sidecar";
import type { Engine } from "@jasminetide/stand_in";
import type { FleetDefinition } from "./load_fleet.ts";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl, startTestFleet, waitUntil } from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  response: Response;
  firstCaller: AbortController;
};

/** Leaves one engine, which runs one request at a time. */
function limitFleet(definition: FleetDefinition): FleetDefinition {
  const { configuration } = definition;
  const { admission } = configuration.defaults;
  const defaults = {
    ...configuration.defaults,
    admission: { ...admission, maximumConcurrency: 1 },
  };
  const isKept = ({ runner }: { runner: string }) =>
    !/^assistant-[2-9]/.test(runner);
  return {
    ...definition,
    configuration: { ...configuration, defaults },
    sidecars: definition.sidecars.filter(isKept),
  };
}

function getEngine({ fleet }: World): Engine {
  const [engine] = fleet.engines.values();
  return engine;
}

function getSidecar({ fleet }: World): Sidecar {
  return fleet.sidecars[0];
}

/** Asks for a chat; a streamed one runs until its caller goes. */
function ask(
  world: World,
  chat: { tokens: number; stream?: boolean; timeoutMs?: number },
  signal?: AbortSignal,
): Promise<Response> {
  const { stream = false, timeoutMs, tokens } = chat;
  const headers: Record<string, string> = {
    authorization: `Bearer ${callerKey}`,
  };
  if (timeoutMs !== undefined) {
    headers["x-request-timeout-ms"] = String(timeoutMs);
  }
  return fetch(getUrl(world.fleet, "/v1/chat/completions"), {
    method: "POST",
    headers,
    body: JSON.stringify({
      model: "assistant",
      messages: [{ role: "user", content: `count ${tokens}` }],
      max_tokens: tokens,
      stream,
    }),
    ...(signal === undefined ? {} : { signal }),
  });
}

/** Starts a stream that holds the only slot until its caller goes. */
async function holdSlot(world: World): Promise<void> {
  world.firstCaller = new AbortController();
  const chat = { tokens: 50_000, stream: true };
  const response = await ask(world, chat, world.firstCaller.signal);
  assert.equal(response.status, 200);
}

Given(
  "a local fleet whose one engine runs 1 request at a time",
  async function (this: World) {
    this.fleet = await startTestFleet({ change: limitFleet });
    assert.equal(this.fleet.engines.size, 1);
  },
);

When(
  "a caller streams and another has too little time for {int} tokens",
  async function (this: World, tokens: number) {
    // The sidecar learns from an answer how long the engine takes.
    assert.equal((await ask(this, { tokens: 16 })).status, 200);
    await holdSlot(this);
    this.response = await ask(this, { tokens, timeoutMs: 2000 });
    this.firstCaller.abort();
    await waitUntil(() => getEngine(this).running === 0);
  },
);

Then("the answer says when to come back", function (this: World) {
  assert.ok(Number(this.response.headers.get("retry-after")) > 0);
});

When(
  "a caller streams and another goes while it waits",
  async function (this: World) {
    await holdSlot(this);
    const abort = new AbortController();
    const second = ask(this, { tokens: 5 }, abort.signal);
    await waitUntil(() => getSidecar(this).queueLength === 1);
    abort.abort();
    await assert.rejects(second);
    await waitUntil(() => getSidecar(this).queueLength === 0);
  },
);

Then(
  "only the first request has reached the engine",
  function (this: World) {
    assert.equal(getEngine(this).requestCount, 1);
    assert.equal(getEngine(this).running, 1);
  },
);

When("the first caller goes", function (this: World) {
  this.firstCaller.abort();
});

Then("no load is left at the sidecar", async function (this: World) {
  await waitUntil(() => getSidecar(this).loadTokens === 0);
  await waitUntil(() => getEngine(this).running === 0);
});
