import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { drainKind } from "@jasminetide/runtime/platform";
import { createAnswerTokens } from "@jasminetide/stand_in";
import { v7 as createKey } from "uuid";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl, startTestFleet, waitUntil } from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  callers: { isDone: boolean; calls: number; failures: string[] };
  work: Promise<void>[];
};

const leaveNoticeMs = 300;

const maxFailuresShown = 5;

Given(
  "a local fleet that announces planned stops",
  async function (this: World) {
    this.fleet = await startTestFleet({ leaveNoticeMs });
  },
);

/**
 * Sends a request to a ready router, as the platform's load balancer would: if
 * the connection is refused, another router is tried.
 */
async function sendBalanced(
  fleet: LocalFleet,
  path: string,
  init: RequestInit,
): Promise<Response> {
  for (let attempts = 0;; attempts++) {
    const ready = fleet.routers.findIndex((router) => router.isReady);
    try {
      return await fetch(getUrl(fleet, path, Math.max(0, ready) + 1), {
        ...init,
        headers: { authorization: `Bearer ${callerKey}`, ...init.headers },
      });
    } catch (error) {
      const { cause } = error as { cause?: { code?: string } };
      if (cause?.code !== "ECONNREFUSED" || attempts > 20) throw error;
    }
  }
}

/** Sends a chat; returns a description of its failure or "". */
async function sendChat(fleet: LocalFleet, turn: number): Promise<string> {
  const body = {
    model: "assistant",
    messages: [{ role: "user", content: `turn ${turn}` }],
    max_tokens: 20,
    stream: true,
  };
  const response = await sendBalanced(fleet, "/v1/chat/completions", {
    method: "POST",
    body: JSON.stringify(body),
  });
  const text = await response.text();
  const content = [...text.matchAll(/"content":"([^"]*)"/g)]
    .map((match) => match[1]).join("");
  const isWhole = content === createAnswerTokens(body).join("") &&
    text.endsWith("data: [DONE]\n\n");
  return isWhole ? "" : `chat ${response.status} ${text.slice(-400)}`;
}

/** Looks up a balance; returns a description of its failure or "". */
async function sendLookup(fleet: LocalFleet): Promise<string> {
  const path = "/deposit-ledger/balances/a1";
  const response = await sendBalanced(fleet, path, {});
  return response.status === 200 ? "" : `lookup ${await response.text()}`;
}

/** Sends a refund; returns a description of its failure or "". */
async function sendRefund(fleet: LocalFleet): Promise<string> {
  const key = createKey();
  const response = await sendBalanced(fleet, "/deposit-ledger/refunds", {
    method: "POST",
    headers: { "idempotency-key": key },
    body: JSON.stringify({ account: "a1", amount: 1 }),
  });
  const text = await response.text();
  const effects = [...fleet.deposits.effects]
    .filter(([scoped]) => scoped.includes(key))
    .reduce((sum, [, count]) => sum + count, 0);
  return response.status === 201 && effects === 1
    ? ""
    : `refund ${response.status}, ${effects} effects: ${text}`;
}

async function callUntilDone(
  world: World,
  call: (turn: number) => Promise<string>,
): Promise<void> {
  for (let turn = 0; !world.callers.isDone; turn++) {
    const failure = await call(turn).catch((error: unknown) => String(error));
    world.callers.calls += 1;
    if (failure !== "") world.callers.failures.push(failure);
  }
}

Given(
  "callers that chat, look up and refund continuously",
  function (this: World) {
    this.callers = { isDone: false, calls: 0, failures: [] };
    this.work = [
      callUntilDone(this, (turn) => sendChat(this.fleet, turn)),
      callUntilDone(this, (turn) => sendChat(this.fleet, turn + 100_000)),
      callUntilDone(this, () => sendLookup(this.fleet)),
      callUntilDone(this, () => sendRefund(this.fleet)),
    ];
  },
);

/** Returns whether every router sends new work to the runner of a sidecar. */
function isInUse(fleet: LocalFleet, index: number): boolean {
  const { runner } = fleet.sidecars[index].settings;
  return fleet.routers.every((router) =>
    router.getRunnerState(runner) === "active"
  );
}

When(
  "every sidecar and every router is restarted in turn",
  { timeout: 60_000 },
  async function (this: World) {
    for (let index = 0; index < this.fleet.sidecars.length; index++) {
      await this.fleet.restartSidecar(index);
      await waitUntil(() => isInUse(this.fleet, index));
    }
    for (let index = 0; index < this.fleet.routers.length; index++) {
      await this.fleet.restartRouter(index);
      await waitUntil(() => this.fleet.routers[index].isReady);
    }
    this.callers.isDone = true;
    await Promise.all(this.work);
  },
);

Then("no call failed, was cut or took effect twice", function (this: World) {
  assert.deepEqual(this.callers.failures.slice(0, maxFailuresShown), []);
  assert.ok(this.callers.calls > 100);
});

When(
  "an operator drains runner {string}",
  function (this: World, runner: string) {
    const intent = {
      target: "runner",
      name: runner,
      state: "draining",
      reason: "Its host is to be replaced",
      requestedAtMs: 0,
    };
    this.fleet.objects.store.put(
      `${drainKind}/runner-${runner}`,
      JSON.stringify(intent),
      "absent",
    );
  },
);

Then(
  "its sidecar is leaving and no router sends it new work",
  async function (this: World) {
    const [sidecar] = this.fleet.sidecars;
    await waitUntil(() =>
      sidecar.isLeaving &&
      this.fleet.routers.every((router) =>
        router.getRunnerState("assistant-1") === "leaving"
      )
    );
  },
);

Then("the other runners still answer chats", async function (this: World) {
  for (let turn = 0; turn < 20; turn++) {
    assert.equal(await sendChat(this.fleet, turn), "");
  }
  assert.equal(this.fleet.engines.get("assistant-1")?.running, 0);
  const { counters } = this.fleet.sidecars[0].getMetrics();
  assert.equal(counters["refused-runnerLeaving"] ?? 0, 0);
});

When(
  "the host list marks host {string} as leaving",
  function (this: World, host: string) {
    this.fleet.hosts.drain(host);
  },
);

Then(
  "router {int} is no longer ready and router {int} is",
  async function (this: World, leaving: number, staying: number) {
    const { routers } = this.fleet;
    await waitUntil(() => !routers[leaving - 1].isReady);
    assert.ok(routers[staying - 1].isReady);
  },
);
