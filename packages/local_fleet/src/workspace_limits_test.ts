import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Given, Then, When } from "@cucumber/cucumber";
import type { FleetDefinition } from "./load_fleet.ts";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl, startTestFleet, timers } from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  requestsPerSecond: number;
  startedAtMs: number;
  answers: { router: number; response: Response }[];
};

const otherKey = "other-key";

/** Burst allowance: seconds' worth of requests above the elapsed time. */
const burstSeconds = 3;

/** Concurrent requests; few enough that runners are not overloaded. */
const concurrency = 20;

function setLimit(
  definition: FleetDefinition,
  limit: { workspace: string; requestsPerSecond: number },
): FleetDefinition {
  const { configuration } = definition;
  const { requestsPerSecond, workspace } = limit;
  const keyHash = createHash("sha256").update(otherKey).digest("hex");
  return {
    ...definition,
    configuration: {
      ...configuration,
      workspaces: [
        ...configuration.workspaces,
        { id: "other", keyHashes: [keyHash] },
      ],
      exceptions: [...configuration.exceptions, {
        match: { workspace },
        set: { workspace: { requestsPerSecond } },
        reason: "The test needs a low limit for this workspace",
      }],
    },
  };
}

function sendLookup(
  world: World,
  router: number,
  key = callerKey,
): Promise<Response> {
  return fetch(getUrl(world.fleet, "/deposit-ledger/balances/a", router), {
    headers: { authorization: `Bearer ${key}` },
  });
}

function requestChat(world: World, router: number): Promise<Response> {
  return fetch(getUrl(world.fleet, "/v1/chat/completions", router), {
    method: "POST",
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({
      model: "assistant",
      messages: [{ role: "user", content: "say 1" }],
      max_tokens: 1,
    }),
  });
}

async function sendAll(
  world: World,
  count: number,
  send: (world: World, router: number) => Promise<Response>,
): Promise<void> {
  world.startedAtMs = timers.nowMs();
  world.answers = [];
  for (let start = 0; start < count; start += concurrency) {
    const size = Math.min(concurrency, count - start);
    world.answers.push(
      ...await Promise.all(Array.from({ length: size }, async (_, index) => {
        const router = 1 + index % world.fleet.routers.length;
        return { router, response: await send(world, router) };
      })),
    );
  }
}

function countAnswered(world: World, router?: number): number {
  return world.answers.filter((answer) =>
    answer.response.status === 200 &&
    (router === undefined || answer.router === router)
  ).length;
}

/** Documented bound on the requests answered since the start of sending. */
function getBound(world: World): number {
  const seconds = (timers.nowMs() - world.startedAtMs) / 1000;
  return world.requestsPerSecond * (seconds + burstSeconds) +
    world.fleet.routers.length;
}

Given(
  "a fleet whose exception limits {string} to {int} requests per second",
  async function (this: World, workspace: string, requestsPerSecond: number) {
    const limit = { workspace, requestsPerSecond };
    this.requestsPerSecond = requestsPerSecond;
    this.fleet = await startTestFleet({
      changeDefinition: (definition) => setLimit(definition, limit),
    });
    assert.equal(this.fleet.routers.length, 2);
  },
);

When(
  "both routers together receive {int} lookups of workspace {string}",
  async function (this: World, count: number, _workspace: string) {
    await sendAll(this, count, sendLookup);
  },
);

When(
  "both routers together receive {int} chats of workspace {string}",
  async function (this: World, count: number, _workspace: string) {
    await sendAll(this, count, requestChat);
  },
);

When(
  "workspace {string} sends until both routers have used granted quota",
  async function (this: World, _workspace: string) {
    // A router cannot admit more than this without a grant from the owner.
    const ungrantedLimit = this.requestsPerSecond;
    this.startedAtMs = timers.nowMs();
    this.answers = [];
    while (
      countAnswered(this, 1) <= ungrantedLimit ||
      countAnswered(this, 2) <= ungrantedLimit
    ) {
      for (const router of [1, 2]) {
        const response = await sendLookup(this, router);
        await response.arrayBuffer();
        this.answers.push({ router, response });
      }
    }
    const missed = this.fleet.routers.map((router) =>
      router.getMetrics().counters["quota-owners-missed"] ?? 0
    );
    assert.deepEqual(missed, [0, 0]);
  },
);

Then(
  "no more requests are answered than the bound allows",
  function (this: World) {
    const answered = countAnswered(this);
    const bound = getBound(this);
    assert.ok(answered > 0, "no request was answered");
    assert.ok(answered <= bound, `${answered} answered, bound ${bound}`);
    assert.ok(
      bound < this.answers.length,
      "the burst is too small to reach the bound",
    );
  },
);

Then(
  "each refused request has code {int}, executed {string} and retry-after",
  async function (this: World, code: number, executed: string) {
    const refused = this.answers.filter(({ response }) =>
      response.status !== 200
    );
    assert.ok(refused.length > 0);
    for (const { response } of refused) {
      const problem = await response.json() as {
        code: number;
        executed: string;
      };
      assert.equal(response.status, 429);
      assert.deepEqual(
        { code: problem.code, executed: problem.executed },
        { code, executed },
      );
      assert.ok(Number(response.headers.get("retry-after")) > 0);
    }
  },
);

Then(
  "{int} lookups of another workspace are all answered",
  async function (this: World, count: number) {
    assert.ok(countAnswered(this) < this.answers.length);
    await sendAll(
      this,
      count,
      (world, router) => sendLookup(world, router, otherKey),
    );
    assert.equal(countAnswered(this), count);
  },
);
