import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import fc from "fast-check";
import {
  createEngineProfile,
  type EngineEvent,
  EngineModel,
  type EngineProfile,
  type EngineRequest,
  WeightStore,
} from "./mod.ts";

type World = {
  model: EngineModel;
  events: EngineEvent[];
  others: EngineModel[];
};

const blockTokens = 16;

function createModel(
  profile: Partial<EngineProfile>,
  weights?: WeightStore,
): EngineModel {
  return EngineModel.create({
    profile: createEngineProfile(profile),
    models: ["m"],
    random: createSeededRandom(7),
    weights,
  });
}

function createBlocks(chat: string, count: number): number[] {
  const base = chat.charCodeAt(0) * 1_000_000;
  return Array.from({ length: count }, (_, index) => base + index);
}

function createRequest(
  id: string,
  options: Partial<EngineRequest> & { chat?: string; blocks?: number } = {},
): EngineRequest {
  const { chat = id, blocks = 4, ...rest } = options;
  return {
    id,
    model: "m",
    priority: 0,
    promptTokens: blocks * blockTokens,
    promptBlocks: createBlocks(chat, blocks),
    answerTokens: 4,
    answerBlocks: [],
    ...rest,
  };
}

/** Runs an engine until it is idle. */
function runUntilIdle(model: EngineModel): EngineEvent[] {
  const events: EngineEvent[] = [];
  let dueMs = model.getNextDueMs();
  while (dueMs !== undefined) {
    events.push(...model.advance(dueMs));
    dueMs = model.getNextDueMs();
  }
  return events;
}

function runRequest(model: EngineModel, request: EngineRequest): EngineEvent[] {
  model.submit(request, model.getLoad().atMs);
  return runUntilIdle(model);
}

function getFirstTokenMs(events: EngineEvent[]): number {
  const start = events.find((event) => event.type === "started");
  const token = events.find((event) => event.type === "token");
  assert.ok(start !== undefined && token !== undefined);
  return token.atMs - start.atMs;
}

function getTokenIndexes(events: EngineEvent[]): number[] {
  return events.flatMap((event) => event.type === "token" ? event.index : []);
}

Given(
  "an engine model with {int} KV blocks",
  function (this: World, memoryBlocks: number) {
    this.model = createModel({ memoryBlocks, maximumBatch: 2 });
  },
);

When(
  /^chat "(.)" of (\d+) blocks is generated(?: again)?$/,
  function (this: World, chat: string, blocks: string) {
    const request = createRequest(chat, { blocks: Number(blocks) });
    this.events = [...this.events ?? [], ...runRequest(this.model, request)];
  },
);

Then(
  "the second generation has a shorter time to the first token",
  function (this: World) {
    const half = this.events.findIndex((event) => event.type === "finished") +
      1;
    const first = getFirstTokenMs(this.events.slice(0, half));
    const second = getFirstTokenMs(this.events.slice(half));
    assert.ok(second < first, `${second} against ${first}`);
  },
);

Then(
  "the second generation has {int} cached tokens",
  function (this: World, cachedTokens: number) {
    const started = this.events.filter((event) => event.type === "started");
    assert.equal(started[1].cachedTokens, cachedTokens);
  },
);

Then(
  "the engine caches no block of chat {string}",
  function (this: World, chat: string) {
    assert.deepEqual(this.model.getCachedPrefix(createBlocks(chat, 32)), []);
  },
);

Then(
  "tokens are further apart with {int} sequences than with {int}",
  (many: number, few: number) => {
    const [slow, fast] = [many, few].map((count) => {
      const model = createModel({});
      for (let index = 0; index < count; index += 1) {
        model.submit(createRequest(`s${index}`, { blocks: 1 }), 0);
      }
      const tokens = runUntilIdle(model).filter((event) =>
        event.type === "token"
      );
      return (tokens.at(-1)?.atMs ?? 0) - tokens[0].atMs;
    });
    assert.ok(slow > fast, `${slow} against ${fast}`);
  },
);

When(
  "the batch is full and requests of two priorities wait",
  function (this: World) {
    for (const id of ["r", "s"]) this.model.submit(createRequest(id), 0);
    this.model.submit(createRequest("low", { chat: "l", priority: 2 }), 0);
    this.model.submit(createRequest("high", { chat: "h", priority: 1 }), 0);
    this.events = runUntilIdle(this.model);
  },
);

Then("the higher priority starts before the lower one", function (this: World) {
  const ids = this.events.filter((event) => event.type === "started")
    .map(({ id }) => id);
  assert.deepEqual(ids, ["r", "s", "high", "low"]);
});

When("a running generation is cancelled", function (this: World) {
  this.model.submit(createRequest("a", { answerTokens: 100 }), 0);
  assert.ok(getTokenIndexes(this.model.advance(100)).length > 0);
  assert.equal(this.model.cancel("a", 100), true);
});

Then(
  "the engine is idle and generates no further token",
  function (this: World) {
    assert.deepEqual(getTokenIndexes(runUntilIdle(this.model)), []);
    assert.equal(this.model.activeCount, 0);
    assert.equal(this.model.cancel("a", 200), false);
  },
);

When(
  "a generation of {int} tokens is resumed at offset {int}",
  function (this: World, answerTokens: number, offsetTokens: number) {
    const request = createRequest("a", { answerTokens, offsetTokens });
    this.events = runRequest(this.model, request);
  },
);

Then(
  "it generates the tokens {int} to {int}",
  function (this: World, first: number, last: number) {
    const indexes = getTokenIndexes(this.events);
    assert.deepEqual([indexes[0], indexes.at(-1)], [first, last]);
    assert.equal(indexes.length, last - first + 1);
  },
);

When(
  "the blocks of chat {string} are imported",
  function (this: World, chat: string) {
    this.model.importBlocks(createBlocks(chat, 8), 0);
  },
);

Then(
  "the blocks of chat {string} are cached only after the transfer",
  function (this: World, chat: string) {
    const blocks = createBlocks(chat, 8);
    assert.deepEqual(this.model.getCachedPrefix(blocks), []);
    this.model.advance(this.model.getNextDueMs() ?? 0);
    assert.deepEqual(this.model.getCachedPrefix(blocks), blocks);
  },
);

When(
  "an engine loses a third of its cache events with seed 7",
  function (this: World) {
    this.model = createModel({ cacheEventLoss: 1 / 3, cacheEventDelayMs: 500 });
    for (let index = 0; index < 30; index += 1) {
      const chat = String.fromCharCode(97 + index);
      runRequest(this.model, createRequest(chat, { answerTokens: 1 }));
    }
  },
);

Then(
  "some sequence numbers are missing and no event is readable early",
  function (this: World) {
    const { atMs } = this.model.getLoad();
    const all = this.model.listCacheEvents(0, atMs + 500);
    const early = this.model.listCacheEvents(0, atMs);
    assert.ok(all.length < this.model.cacheSequence && all.length > 10);
    assert.ok(early.length < all.length);
  },
);

When("a generation runs for a while", function (this: World) {
  this.model.submit(createRequest("a", { answerTokens: 300 }), 0);
  this.model.advance(1400);
});

Then(
  "the load report shows an earlier load of the engine",
  function (this: World) {
    const report = this.model.getLoadReport(1400);
    const load = this.model.getLoad();
    assert.ok(report !== undefined && report.atMs <= 500);
    assert.ok(report.outstandingTokens > load.outstandingTokens);
  },
);

Then(
  "an order with a stale fencing number is refused only if checked",
  () => {
    for (const checksFencing of [true, false]) {
      const model = createModel({ checksFencing });
      const order = { type: "set-role", role: "decode" } as const;
      model.applyOrder({ ...order, fencingNumber: 5 }, 0);
      const apply = () => model.applyOrder({ ...order, fencingNumber: 4 }, 0);
      if (checksFencing) {
        assert.throws(
          apply,
          (error) =>
            error instanceof AppError && error.result === "staleFencingNumber",
        );
      } else assert.equal(apply(), 0);
    }
  },
);

When("two engines load a model at the same time", function (this: World) {
  const weights = WeightStore.create({ bytesPerSecond: 1_000_000 });
  this.others = [1, 2].map(() =>
    createModel({ modelBytes: 2_000_000 }, weights)
  );
  for (const model of this.others) {
    model.applyOrder({
      type: "load-model",
      model: "n",
      version: "1",
      fencingNumber: 1,
    }, 0);
  }
});

Then(
  "the second is ready one transfer later than the first",
  function (this: World) {
    const ready = this.others.map((model) => model.models.get("n")?.readyAtMs);
    assert.deepEqual(ready, [2000, 4000]);
    const request = createRequest("a", { model: "n" });
    assert.throws(() => this.others[1].submit(request, 3999));
    this.others[1].submit(request, 4000);
  },
);

Then(
  "random requests of seed {int} never exceed memory and leave no work",
  (seed: number) => {
    const action = fc.record({
      chat: fc.integer({ min: 97, max: 102 }),
      blocks: fc.integer({ min: 1, max: 20 }),
      answerTokens: fc.integer({ min: 1, max: 40 }),
      waitMs: fc.integer({ min: 0, max: 60 }),
      cancels: fc.boolean(),
    });
    const property = fc.property(fc.array(action), (actions) => {
      const model = createModel({ memoryBlocks: 40, maximumBatch: 4 });
      actions.forEach(({ chat, waitMs, cancels, ...work }, index) => {
        const nowMs = model.getLoad().atMs + waitMs;
        const name = String.fromCharCode(chat);
        model.submit(createRequest(`${index}`, { chat: name, ...work }), nowMs);
        if (cancels) model.cancel(`${index - 1}`, nowMs);
        assert.ok(model.getLoad().usedBlocks <= 40);
      });
      runUntilIdle(model);
      assert.equal(model.activeCount, 0);
      assert.equal(model.getLoad().usedBlocks, model.listBlocks().length);
    });
    fc.assert(property, { seed });
  },
);
