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

/** Seconds of the limit that may pass besides the time that went by. */
const boundSeconds = 3;

/** Requests in flight at a time, so that runners are not overloaded. */
const inFlight = 20;

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
        reason: "The test holds this workspace to little",
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

function askChat(world: World, router: number): Promise<Response> {
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
  for (let start = 0; start < count; start += inFlight) {
    const size = Math.min(inFlight, count - start);
    world.answers.push(
      ...await Promise.all(Array.from({ length: size }, async (_, index) => {
        const router = 1 + index % world.fleet.routers.length;
        return { router, response: await send(world, router) };
      })),
    );
  }
}

function countPassed(world: World, router?: number): number {
  return world.answers.filter((answer) =>
    answer.response.status === 200 &&
    (router === undefined || answer.router === router)
  ).length;
}

/** The bound of the operators' page for the time that the sending took. */
function getBound(world: World): number {
  const seconds = (timers.nowMs() - world.startedAtMs) / 1000;
  return world.requestsPerSecond * (seconds + boundSeconds) +
    world.fleet.routers.length;
}

Given(
  "a fleet whose exception holds workspace {string} to {int} requests a second",
  async function (this: World, workspace: string, requestsPerSecond: number) {
    const limit = { workspace, requestsPerSecond };
    this.requestsPerSecond = requestsPerSecond;
    this.fleet = await startTestFleet({
      change: (definition) => setLimit(definition, limit),
    });
    assert.equal(this.fleet.routers.length, 2);
  },
);

When(
  "both routers together get {int} lookups of workspace {string}",
  async function (this: World, count: number, _workspace: string) {
    await sendAll(this, count, sendLookup);
  },
);

When(
  "both routers together get {int} chats of workspace {string}",
  async function (this: World, count: number, _workspace: string) {
    await sendAll(this, count, askChat);
  },
);

When(
  "workspace {string} sends until both routers passed requests by grants",
  async function (this: World, _workspace: string) {
    // More than a router may pass without a grant of the owner.
    const wanted = this.requestsPerSecond;
    this.startedAtMs = timers.nowMs();
    this.answers = [];
    while (countPassed(this, 1) <= wanted || countPassed(this, 2) <= wanted) {
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
  "no more of them are answered than the bound allows",
  function (this: World) {
    const passed = countPassed(this);
    const bound = getBound(this);
    assert.ok(passed > 0, "none passed");
    assert.ok(passed <= bound, `${passed} passed, bound ${bound}`);
    assert.ok(bound < this.answers.length, "the burst does not try the bound");
  },
);

Then(
  "each of the others has code {int}, executed {string} and retry-after",
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
    assert.ok(countPassed(this) < this.answers.length);
    await sendAll(
      this,
      count,
      (world, router) => sendLookup(world, router, otherKey),
    );
    assert.equal(countPassed(this), count);
  },
);
