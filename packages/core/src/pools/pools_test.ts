import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "../hashing/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import {
  chooseCopySource,
  chooseEngine,
  choosePlainRunner,
  type PoolRunner,
  PrefixHolders,
  type RetryLimits,
  RunnerHealth,
  RunnerLoad,
  WindowedRetryBudget,
} from "./mod.ts";

type World = {
  pool: PoolRunner[];
  poolNowMs: number;
  poolBefore: PoolRunner[];
  holders: PrefixHolders;
  heldBy: string;
  load: RunnerLoad;
  retryLimits: RetryLimits;
  budgets: WindowedRetryBudget[];
  retryTimesMs: number[];
};

const random = createSeededRandom(11);

function createRunner(id: string, outstanding = 0): PoolRunner {
  const load = RunnerLoad.create();
  load.ownOutstanding = outstanding;
  return {
    id,
    idHash: hash32(id),
    listedAtMs: 0,
    failureDomain: "a",
    slots: 96,
    load,
    health: RunnerHealth.create(),
  };
}

function createPool(world: World, count: number, outstanding = 0): void {
  world.poolNowMs = 10_000;
  world.holders = PrefixHolders.create({ maxPrefixes: 100 });
  world.pool = Array.from(
    { length: count },
    (_, index) => createRunner(`r${index}`, outstanding),
  );
}

function choose(
  world: World,
  prefixId: string,
  sharedTokens = 10_000,
  pool = world.pool,
) {
  const nowMs = world.poolNowMs;
  const holders = world.holders.getHolders(prefixId, nowMs);
  const choice = chooseEngine(pool, {
    nowMs,
    prefixId,
    sharedTokens,
    holders,
    mayQueue: true,
  });
  assert.ok(choice);
  return choice;
}

Given("{int} engines without load", function (this: World, count: number) {
  createPool(this, count);
});

Given(
  "{int} engines with {int} requests each",
  function (this: World, count: number, outstanding: number) {
    createPool(this, count, outstanding);
  },
);

Given(
  "an engine holds the prefix {string}",
  function (this: World, prefixId: string) {
    this.heldBy = choose(this, prefixId).runner.id;
    this.holders.record(prefixId, this.heldBy, this.poolNowMs);
  },
);

When(
  "all engines report {int} requests more of other routers",
  function (this: World, others: number) {
    for (const { load } of this.pool) {
      const running = load.ownOutstanding + others;
      load.observe({ running, waiting: 0, slots: 96 }, this.poolNowMs);
    }
  },
);

When(
  "it reports {int} waiting request",
  function (this: World, waiting: number) {
    this.load.observe({ running: 96, waiting, slots: 96 }, this.poolNowMs);
  },
);

Then(
  /^(no )?requests are known to wait there$/,
  function (this: World, none: string | null) {
    assert.equal(this.load.hasQueue(this.poolNowMs), none === null);
  },
);

When("{int} ms pass at the pool", function (this: World, durationMs: number) {
  this.poolNowMs += durationMs;
});

Then(
  /^a request that (may|must not) queue is (placed|refused)$/,
  function (this: World, right: string, outcome: string) {
    const choice = chooseEngine(this.pool, {
      nowMs: this.poolNowMs,
      prefixId: "p",
      sharedTokens: 0,
      holders: new Set(),
      mayQueue: right === "may",
    });
    assert.equal(choice !== undefined, outcome === "placed");
  },
);

When("{int} engines are added", function (this: World, count: number) {
  for (let index = 0; index < count; index++) {
    this.pool.unshift(createRunner(`added${index}`));
  }
});

Then(
  "requests with the prefix {string} go to its holder",
  function (this: World, prefixId: string) {
    assert.equal(choose(this, prefixId).runner.id, this.heldBy);
  },
);

Then(
  "{int} shared prefixes have the same home in any order of the engines",
  function (this: World, count: number) {
    const reversed = [...this.pool].reverse();
    const homes = new Set<string>();
    for (let index = 0; index < count; index++) {
      const prefixId = `prefix-${index}`;
      const { runner } = choose(this, prefixId);
      assert.equal(choose(this, prefixId, 10_000, reversed).runner, runner);
      homes.add(runner.id);
    }
    assert.equal(homes.size, this.pool.length);
  },
);

When(
  "{int} requests with the prefix {string} of {int} tokens arrive at once",
  function (this: World, count: number, prefixId: string, tokens: number) {
    for (let index = 0; index < count; index++) {
      const { runner } = choose(this, prefixId, tokens);
      runner.load.ownOutstanding += 1;
      this.holders.record(prefixId, runner.id, this.poolNowMs);
    }
  },
);

Then(
  "no engine has more requests than {int} times the mean plus {int}",
  function (this: World, multiple: number, slack: number) {
    const loads = this.pool.map(({ load }) => load.ownOutstanding);
    const mean = loads.reduce((sum, each) => sum + each, 0) / loads.length;
    assert.ok(Math.max(...loads) <= multiple * mean + slack, loads.join(" "));
  },
);

When(
  "the home of the prefix {string} has {int} requests",
  function (this: World, prefixId: string, outstanding: number) {
    const { runner } = choose(this, prefixId);
    runner.load.ownOutstanding = outstanding;
    this.heldBy = runner.id;
  },
);

Then(
  "a prompt with {int} shared tokens stays at its home",
  function (this: World, tokens: number) {
    assert.equal(choose(this, "p", tokens).runner.id, this.heldBy);
  },
);

Then(
  "a prompt with {int} shared tokens leaves its home, which is a copy source",
  function (this: World, tokens: number) {
    const choice = choose(this, "p", tokens);
    assert.notEqual(choice.runner.id, this.heldBy);
    const source = chooseCopySource(this.pool, {
      nowMs: this.poolNowMs,
      prefixId: "p",
      copierId: choice.runner.id,
    });
    assert.equal(source?.id, this.heldBy);
  },
);

Given("{int} plain runners", function (this: World, count: number) {
  createPool(this, count);
});

When(
  "runner {int} loses {int} requests in a row",
  function (this: World, index: number, count: number) {
    for (let lost = 0; lost < count; lost++) {
      this.pool[index].health.observe("lost", this.poolNowMs);
    }
  },
);

When(
  "runner {int} is late with {int} requests in a row",
  function (this: World, index: number, count: number) {
    for (let late = 0; late < count; late++) {
      this.pool[index].health.observe("late", this.poolNowMs);
    }
  },
);

Then(
  "{int} of runners {int} and {int} are avoided",
  function (this: World, count: number, left: number, right: number) {
    const avoided = [left, right].filter((index) =>
      this.pool[index].health.isAvoided(this.poolNowMs)
    );
    assert.equal(avoided.length, count);
  },
);

When(
  "every runner loses {int} requests in a row",
  function (this: World, count: number) {
    for (const { health } of this.pool) {
      for (let lost = 0; lost < count; lost++) {
        health.observe("lost", this.poolNowMs);
      }
    }
  },
);

When(
  "runner {int} fails {int} of {int} requests",
  function (this: World, index: number, failed: number, count: number) {
    for (let request = 0; request < count; request++) {
      const outcome = request < count - failed ? "succeeded" : "failed";
      this.pool[index].health.observe(outcome, this.poolNowMs);
    }
  },
);

When(
  "{int} ms pass without requests",
  function (this: World, durationMs: number) {
    this.poolNowMs += durationMs;
  },
);

function placePlain(world: World, count: number): (string | undefined)[] {
  return Array.from({ length: count }, () =>
    choosePlainRunner(world.pool, {
      nowMs: world.poolNowMs,
      random,
      failureDomain: "a",
    })?.id);
}

Then(
  /^it gets (none|some) of (\d+) requests$/,
  function (this: World, amount: string, count: string) {
    const hits = placePlain(this, Number(count)).filter((id) => id === "r2");
    assert.equal(hits.length > 0, amount === "some");
  },
);

Then("{int} requests are all placed", function (this: World, count: number) {
  assert.ok(placePlain(this, count).every((id) => id !== undefined));
});

Given(
  "a runner that reports {int} running requests, {int} of them by this router",
  function (this: World, running: number, own: number) {
    this.poolNowMs = 10_000;
    this.load = RunnerLoad.create();
    this.load.ownOutstanding = own;
    this.load.observe({ running, waiting: 0, slots: 96 }, this.poolNowMs);
  },
);

When(
  "this router sends {int} more request",
  function (this: World, count: number) {
    this.load.ownOutstanding += count;
  },
);

When("{int} ms pass without reports", function (this: World, ms: number) {
  this.poolNowMs += ms;
});

Then(
  "the runner is estimated to hold {int} requests",
  function (this: World, count: number) {
    assert.equal(this.load.getEstimate(this.poolNowMs), count);
  },
);

When(
  "{int} engines are added {int} ms later",
  function (this: World, count: number, ms: number) {
    this.poolBefore = [...this.pool];
    this.poolNowMs += ms;
    for (let index = 0; index < count; index++) {
      const added = createRunner(`added${index}`);
      this.pool.push({ ...added, listedAtMs: this.poolNowMs });
    }
  },
);

Then(
  "{int} prefixes whose home is new are copied from their home before",
  function (this: World, count: number) {
    let moved = 0;
    for (let index = 0; moved < count; index++) {
      const prefixId = `prefix-${index}`;
      const copierId = choose(this, prefixId).runner.id;
      const before = choose(this, prefixId, 10_000, this.poolBefore).runner.id;
      if (copierId === before) continue;
      moved += 1;
      const context = { nowMs: this.poolNowMs, prefixId, copierId };
      assert.equal(chooseCopySource(this.pool, context)?.id, before);
    }
  },
);

Given(
  "{int} routers with a budget of {float} retries per request plus {int} per {int} s",
  function (
    this: World,
    routers: number,
    ratio: number,
    slack: number,
    seconds: number,
  ) {
    this.retryLimits = { ratio, slack, windowMs: seconds * 1000 };
    this.retryTimesMs = [];
    this.budgets = Array.from(
      { length: routers },
      () => createRetryBudget(this, Number.NEGATIVE_INFINITY),
    );
  },
);

When(
  "the router has {int} requests and retries {int} times",
  function (this: World, requests: number, retries: number) {
    const [budget] = this.budgets;
    for (let sent = 0; sent < requests; sent++) budget.recordRequest(0);
    for (let sent = 0; sent < retries; sent++) {
      assert.ok(budget.tryTake(0, 1));
    }
  },
);

Then(
  /^half of its share is (left|not left)$/,
  function (this: World, state: string) {
    assert.equal(this.budgets[0].hasHalfLeft(0, 1), state === "left");
  },
);

/** Creates the budget of a router whose process starts. */
function createRetryBudget(
  { retryLimits }: World,
  startedAtMs: number,
): WindowedRetryBudget {
  return WindowedRetryBudget.create({ ...retryLimits, startedAtMs });
}

/** Lets each router have requests and retry all of them if it may. */
function retryAll(
  world: World,
  { nowMs, routers }: { nowMs: number; routers: number | undefined },
): void {
  for (const budget of world.budgets) {
    budget.recordRequest(nowMs);
    // Each request is retried as often as is allowed.
    while (budget.tryTake(nowMs, routers)) world.retryTimesMs.push(nowMs);
  }
}

When(
  "each has {int} requests a second for {int} s, retries each from {int} s on, and restarts {int} s after the start, in turn within {int} s",
  function (
    this: World,
    perSecond: number,
    seconds: number,
    retrySeconds: number,
    firstSeconds: number,
    spreadSeconds: number,
  ) {
    const routers = this.budgets.length;
    const restartMs = (index: number) =>
      1000 * (firstSeconds + spreadSeconds * index / routers);
    let restarted = 0;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1000 / perSecond) {
      while (restarted < routers && nowMs >= restartMs(restarted)) {
        this.budgets[restarted] = createRetryBudget(this, nowMs);
        restarted += 1;
      }
      if (nowMs >= retrySeconds * 1000) retryAll(this, { nowMs, routers });
      else for (const budget of this.budgets) budget.recordRequest(nowMs);
    }
  },
);

When(
  "each has {int} requests a second for {int} s, retries each, and does not know their number",
  function (this: World, perSecond: number, seconds: number) {
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1000 / perSecond) {
      retryAll(this, { nowMs, routers: undefined });
    }
  },
);

Then(
  "all spans of {int} s with {int} requests a second each stay within the budget",
  function (this: World, seconds: number, perSecond: number) {
    const { ratio, slack } = this.retryLimits;
    const requests = this.budgets.length * perSecond * seconds;
    const allowed = ratio * requests + slack;
    for (const startMs of new Set(this.retryTimesMs)) {
      const retries = this.retryTimesMs.filter((timeMs) =>
        timeMs >= startMs && timeMs < startMs + seconds * 1000
      ).length;
      assert.ok(retries <= allowed, `${retries} of ${allowed}`);
    }
  },
);

When(
  "each has {int} requests a second for {int} s and tries to retry each",
  function (this: World, perSecond: number, seconds: number) {
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1000 / perSecond) {
      for (const budget of this.budgets) {
        budget.recordRequest(nowMs);
        if (!budget.tryTake(nowMs, this.budgets.length)) continue;
        this.retryTimesMs.push(nowMs);
      }
    }
  },
);

Then(
  "no span of {int} s exceeds the budget, and at least {int} retries were allowed",
  function (this: World, seconds: number, least: number) {
    const requests = 4 * 50 * seconds;
    const times = this.retryTimesMs;
    for (const startMs of times) {
      const retries = times.filter((timeMs) =>
        timeMs >= startMs && timeMs < startMs + seconds * 1000
      );
      const elapsed = Math.min(requests, (startMs / 1000 + seconds) * 200);
      assert.ok(retries.length <= 0.2 * elapsed + 54);
    }
    assert.ok(times.length >= least, String(times.length));
  },
);
