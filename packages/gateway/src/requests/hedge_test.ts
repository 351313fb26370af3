import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createSilentLogger,
  type LogFields,
} from "@jasminetide/runtime/logging";
import { fetchExplanation } from "../peers/mod.ts";
import {
  createTestSettings,
  formatAnswer,
  RawCaller,
  type ReceivedRequest,
  type Script,
  testHost,
} from "../test_support/mod.ts";
import {
  hasCompleteAnswer,
  type RequestWorld,
  sendRequest,
  startFleet,
} from "./requests_test.ts";

type World = RequestWorld & {
  hedgeLines: { event: string; fields: LogFields }[];
  /** Requests that runners received for the last lookup or payout. */
  lastReceived: ReceivedRequest[];
  countersBefore: HedgeCounters;
};

type HedgeCounters = { hedges: number; refused: number };

const timers = RealTimerService.create();

const answerWith = (body: string): Script => ({ attemptId, socket }) =>
  socket.write(formatAnswer(attemptId, body));

Given(
  "a gateway that may hedge each request and a runner {string}",
  async function (this: World, id: string) {
    this.hedgeLines = [];
    await startFleet(this, id, {
      hedging: { maxShare: 1 },
      sampleShare: 1,
      linesPerSecond: 10_000,
      logger: {
        ...createSilentLogger(),
        info: (event, fields = {}) => this.hedgeLines.push({ event, fields }),
      },
    });
    this.countersBefore = { hedges: 0, refused: 0 };
  },
);

type HedgeDump = {
  hedging: {
    maxShare: number;
    services: { service: string; requests: number; hedges: number }[];
  };
  metrics: { counters: { [name: string]: number | undefined } };
};

async function loadDump({ gatewayUnderTest }: World): Promise<HedgeDump> {
  const { peerAddress } = gatewayUnderTest.gateway;
  const answer = await fetch(`http://${peerAddress}/dump`);
  return await answer.json() as HedgeDump;
}

async function loadCounters(world: World): Promise<HedgeCounters> {
  const { counters } = (await loadDump(world)).metrics;
  return {
    hedges: counters.hedges ?? 0,
    refused: counters["hedges-refused"] ?? 0,
  };
}

When(
  "{int} payouts are answered",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index++) await call(this, "/payout/1");
  },
);

async function call(world: World, path: string): Promise<RawCaller> {
  const caller = await sendRequest(world, path);
  await caller.waitUntil(hasCompleteAnswer);
  return caller;
}

/** Sets how the first and the second runner that get a request handle it. */
function setPair(
  world: World,
  handle: (received: ReceivedRequest[]) => void,
): void {
  const received: ReceivedRequest[] = [];
  world.lastReceived = received;
  for (const runner of world.scriptedRunners.values()) {
    runner.script = (request) => {
      received.push(request);
      handle(received);
    };
  }
}

/** Sends lookups until one is hedged; a late event loop prevents it. */
async function callUntilHedged(
  world: World,
  handle: (received: ReceivedRequest[]) => void,
): Promise<void> {
  const before = await loadCounters(world);
  do {
    setPair(world, handle);
    await call(world, "/lookup/late");
  } while ((await loadCounters(world)).hedges === before.hedges);
}

When(
  "lookups stay unanswered by their first runner until one is hedged",
  function (this: World) {
    return callUntilHedged(this, (received) => {
      if (received.length > 1) answerWith("second")(received[1]);
    });
  },
);

When(
  "lookups are answered by their first runner once another has them, until one is hedged",
  function (this: World) {
    return callUntilHedged(this, (received) => {
      if (received.length > 1) answerWith("first")(received[0]);
    });
  },
);

When(
  "a lookup stays unanswered by its first runner",
  async function (this: World) {
    setPair(this, (received) => {
      if (received.length > 1) answerWith("second")(received[1]);
    });
    await call(this, "/lookup/late");
  },
);

When(
  "a payout is answered after {int} ms",
  async function (this: World, delayMs: number) {
    for (const runner of this.scriptedRunners.values()) {
      runner.script = async (request) => {
        await wait(timers, delayMs);
        answerWith("12")(request);
      };
    }
    await call(this, "/payout/late");
  },
);

When(
  "the settings are reloaded without hedging",
  async function (this: World) {
    this.gatewayUnderTest.gateway.applySettings(createTestSettings({}));
    this.countersBefore = await loadCounters(this);
  },
);

When(
  "both runners answer {string} again",
  function (this: World, body: string) {
    for (const runner of this.scriptedRunners.values()) {
      runner.script = answerWith(body);
    }
  },
);

Then("the connection of the late attempt is closed", function (this: World) {
  return this.lastReceived[0].closed;
});

Then(
  "the late runner counts as failing for a while",
  async function (this: World) {
    const { peerAddress } = this.gatewayUnderTest.gateway;
    const query = { host: testHost, path: "/lookup/1" };
    const { services } = await fetchExplanation(peerAddress, query);
    const [late] = this.lastReceived;
    const runner = services[0].runners.find(({ id }) =>
      this.scriptedRunners.get(id)?.requests.includes(late)
    );
    assert.ok(runner !== undefined && runner.failureShare > 0);
  },
);

Then("the connection of the losing hedge is closed", function (this: World) {
  return this.lastReceived[1].closed;
});

Then(
  /^the lines of the request name a hedge that (won|lost)$/,
  async function (this: World, outcome: string) {
    const { attemptId } = this.lastReceived[0];
    const listEvents = () =>
      this.hedgeLines
        .filter(({ fields }) => fields.attemptId === attemptId)
        .map(({ event }) => event);
    while (!listEvents().includes(`hedge-${outcome}`)) await wait(timers, 1);
    assert.ok(listEvents().includes("hedged"));
    assert.ok(listEvents().includes("attempt-cancelled"));
  },
);

Then(
  "the dump counts its requests and hedges",
  async function (this: World) {
    const { hedging } = await loadDump(this);
    const [{ hedges, requests, service }] = hedging.services;
    assert.equal(hedging.maxShare, 1);
    assert.equal(service, "service");
    assert.equal(hedges, (await loadCounters(this)).hedges);
    assert.ok(requests > 40);
  },
);

Then(
  "a further lookup on the caller's connection is answered {string} alone",
  async function (this: World, body: string) {
    const caller = this.rawCallers.at(-1);
    assert.ok(caller);
    caller.text = "";
    caller.send({ path: "/lookup/next", attemptId: "attempt-next" });
    await caller.waitUntil(hasCompleteAnswer);
    assert.ok(caller.text.endsWith(`\r\n\r\n${body}`));
    assert.equal(caller.text.split("HTTP/1.1").length, 2);
  },
);

Then(
  /^no request was hedged or refused a hedge(?: since)?$/,
  async function (this: World) {
    assert.deepEqual(await loadCounters(this), this.countersBefore);
  },
);
