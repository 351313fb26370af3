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

/** Keeps a single engine, which runs one request at a time. */
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

/** Requests a chat; a streamed one is cancelled when its caller aborts. */
function requestChat(
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

/** Starts a stream that holds the only slot until its caller disconnects. */
async function occupySlot(world: World): Promise<void> {
  world.firstCaller = new AbortController();
  const chat = { tokens: 50_000, stream: true };
  const response = await requestChat(world, chat, world.firstCaller.signal);
  assert.equal(response.status, 200);
}

Given(
  "a local fleet with one engine that runs 1 request at a time",
  async function (this: World) {
    this.fleet = await startTestFleet({ changeDefinition: limitFleet });
    assert.equal(this.fleet.engines.size, 1);
  },
);

When(
  "a caller streams and another sends a deadline too short for {int} tokens",
  async function (this: World, tokens: number) {
    // The sidecar estimates the service time from completed answers.
    assert.equal((await requestChat(this, { tokens: 16 })).status, 200);
    await occupySlot(this);
    this.response = await requestChat(this, { tokens, timeoutMs: 2000 });
    this.firstCaller.abort();
    await waitUntil(() => getEngine(this).running === 0);
  },
);

Then("the answer says when to retry", function (this: World) {
  assert.ok(Number(this.response.headers.get("retry-after")) > 0);
});

When(
  "a caller streams and another disconnects while its request waits",
  async function (this: World) {
    await occupySlot(this);
    const abort = new AbortController();
    const second = requestChat(this, { tokens: 5 }, abort.signal);
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

When("the first caller disconnects", function (this: World) {
  this.firstCaller.abort();
});

Then("the sidecar has no load", async function (this: World) {
  await waitUntil(() => getSidecar(this).loadTokens === 0);
  await waitUntil(() => getEngine(this).running === 0);
});
