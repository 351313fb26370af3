import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import type { RequestListener, ServerResponse } from "node:http";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { requireDocument } from "@jasminetide/core/configuration";
import type { LocalFleet } from "@jasminetide/local_fleet";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { type ListeningServer, startServer } from "@jasminetide/runtime/http";
import fc from "fast-check";
import { mergeArrivals } from "../arrivals/mod.ts";
import { StreamReader } from "../calls/mod.ts";
import {
  checkHistory,
  type HistoryEvent,
  type HistoryReport,
} from "../history/mod.ts";
import {
  checkLoopbackTargets,
  type Scenario,
  scenarioSchema,
} from "../scenario/mod.ts";
import { LoadRun, LoadStats, type MixSummary } from "./mod.ts";

type World = {
  fleet: LocalFleet;
  server: ListeningServer;
  loadReport: HistoryReport;
  mix: MixSummary;
};

const timers = RealTimerService.create();
const caller = { key: "local-key", workspace: "local", ratePerSecond: 60 };

const chats = {
  ...caller,
  kind: "chat",
  name: "chats",
  model: "assistant",
  turns: { minimum: 1, maximum: 3 },
  pauseMs: { minimum: 5, maximum: 20 },
  messageCharacters: { minimum: 20, maximum: 60 },
  answerTokens: { minimum: 2, maximum: 6 },
};

const service = { ...caller, service: "deposit-ledger", accounts: 20 };

const lookups = {
  ...service,
  kind: "lookup",
  name: "balances",
  path: "/balances/{account}",
};

const refunds = {
  ...service,
  kind: "money",
  name: "refunds",
  path: "/refunds",
  repeatRatio: 0,
};

function createScenario(target: string, mixes: unknown[]): Scenario {
  return scenarioSchema.parse({
    name: "test",
    seed: 5,
    targets: [target],
    durationSeconds: 0.25,
    mixes,
  });
}

async function sendLoad(
  target: string,
  mixes: unknown[],
): Promise<HistoryEvent[]> {
  const events: HistoryEvent[] = [];
  await using load = LoadRun.create({
    scenario: createScenario(target, mixes),
    timers,
    record: (event) => void events.push(event),
  });
  await load.run();
  return events;
}

When("a short mixed load is sent to it", async function (this: World) {
  const target = this.fleet.routers[0].callerAddress;
  const events = await sendLoad(target, [chats, lookups, refunds]);
  events.push({ type: "header", formatVersion: 1, effects: "by-key" });
  for (const [key, count] of this.fleet.deposits.effects) {
    for (let effect = 0; effect < count; effect += 1) {
      events.push({ type: "effect", runner: "shared", key });
    }
  }
  this.loadReport = checkHistory(events);
});

When("a short load of chats is sent to it", async function (this: World) {
  this.loadReport = checkHistory(await sendLoad(this.server.address, [chats]));
});

Then(
  "every call of the load is answered and no check is violated",
  function (this: World) {
    const { answered, calls, effects, violations } = this.loadReport;
    assert.deepEqual(violations, []);
    assert.equal(answered, calls);
    assert.ok(effects > 0);
  },
);

Then(
  "no call of the load is answered and no check is violated",
  function (this: World) {
    const { answered, calls, violations } = this.loadReport;
    assert.deepEqual([answered, violations], [0, []]);
    assert.ok(calls > 0);
  },
);

Then(
  "the load shows a violation of {string}",
  function (this: World, check: string) {
    const found = this.loadReport.violations.map((entry) => entry.check);
    assert.ok(found.includes(check as (typeof found)[number]));
  },
);

function sendStream(response: ServerResponse, end: string): void {
  const chunk = { choices: [{ index: 0, delta: { content: "other-0 " } }] };
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.end(`data: ${JSON.stringify(chunk)}\n\n${end}`);
}

async function startTestServer(
  world: World,
  listener: RequestListener,
): Promise<void> {
  world.server = await startServer("127.0.0.1:0", listener);
}

Given(
  "a server that answers each chat with the tokens of another",
  function (this: World) {
    return startTestServer(
      this,
      (_request, response) => sendStream(response, "data: [DONE]\n\n"),
    );
  },
);

Given("a server that truncates each stream", function (this: World) {
  return startTestServer(
    this,
    (_request, response) => sendStream(response, ""),
  );
});

After(async function (this: World) {
  await this.server?.[Symbol.asyncDispose]();
});

When(
  "a request that was due at {int} ms is sent at {int} ms and answered at {int} ms",
  function (this: World, dueMs: number, _sentMs: number, endMs: number) {
    const stats = LoadStats.create(["m"]);
    stats.record({
      mix: "m",
      outcome: { type: "answered", answer: "" },
      intendedAtMs: dueMs,
      firstByteAtMs: undefined,
      completedAtMs: endMs,
    });
    [this.mix] = stats.summarize();
  },
);

Then("its latency is {int} ms", function (this: World, latencyMs: number) {
  assert.equal(Math.round(this.mix.latencyMs.max), latencyMs);
});

Then("a scenario with target {string} is refused", (target: string) => {
  assert.throws(
    () => checkLoopbackTargets(createScenario(target, [chats])),
    { code: 6003 },
  );
});

Then("a scenario with target {string} is not refused", (target: string) => {
  checkLoopbackTargets(createScenario(target, [chats]));
});

Then(
  "the scenarios {string}, {string} and {string} are valid",
  async (first: string, second: string, third: string) => {
    for (const name of [first, second, third]) {
      const file = fileURLToPath(
        new URL(`../../../../examples/load/${name}.jsonc`, import.meta.url),
      );
      const text = await readFile(file, "utf8");
      const schema = scenarioSchema;
      assert.equal(requireDocument(text, { file, schema }).name, name);
    }
  },
);

Then(
  "the arrivals of seed {int} are reproducible and {int} per second",
  (seed: number, ratePerSecond: number) => {
    const durationSeconds = 50;
    const mixes = [{ ...lookups, ratePerSecond }];
    const draw = () => [
      ...mergeArrivals({
        ...createScenario("127.0.0.1:1", mixes),
        seed,
        durationSeconds,
      }),
    ];
    const arrivals = draw();
    assert.deepEqual(arrivals, draw());
    const expected = durationSeconds * ratePerSecond;
    assert.ok(Math.abs(arrivals.length - expected) < 5 * Math.sqrt(expected));
  },
);

function readChunks(chunks: readonly string[]) {
  const reader = StreamReader.create();
  for (const chunk of chunks) reader.read(chunk);
  return reader.getOutcome();
}

Then(
  "streams split at random by seed {int} have the same outcome",
  (seed: number) => {
    const createEvent = (content: string) =>
      `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
    const words = fc.array(fc.string(), { minLength: 1, maxLength: 9 });
    const cutPositions = fc.array(fc.nat(400), { maxLength: 9 });
    fc.assert(
      fc.property(words, cutPositions, (contents, positions) => {
        const text = `${contents.map(createEvent).join("")}data: [DONE]\n\n`;
        const sorted = [0, ...positions.sort((a, b) => a - b), text.length];
        const chunks = sorted.slice(1).map((end, index) =>
          text.slice(sorted[index], end)
        );
        assert.deepEqual(readChunks(chunks), {
          type: "answered",
          answer: contents.join(""),
        });
      }),
      { seed, numRuns: 300 },
    );
  },
);

Then("no stream from seed {int} makes the reader throw", (seed: number) => {
  const line = fc.oneof(
    fc.string(),
    fc.json().map((json) => `data: ${json}\n\n`),
    fc.constantFrom("data: [DONE]\n\n", "\n\n", "event: x\n", ": ping\n\n"),
  );
  fc.assert(
    fc.property(fc.array(line), (lines) => void readChunks(lines)),
    { seed, numRuns: 500 },
  );
});
