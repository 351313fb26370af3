import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { createSeededRandom } from "../random/mod.ts";
import { chooseCachePath } from "./cache_path.ts";
import { ChatHints } from "./chat_hints.ts";
import { chooseChatRunner } from "./choose_chat_runner.ts";
import { chooseLookupRunner } from "./choose_lookup_runner.ts";
import { getExpectedTokens, PoolView } from "./pool_view.ts";
import { hashPrefix } from "./prefix_hashes.ts";
import { rankRunners } from "./rank.ts";

type World = {
  pool: PoolView;
  key: bigint;
  holder: string | undefined;
  tried: Set<string>;
  joined: string;
  hints: ChatHints;
  nowMs: number;
};

const seed = 20_261_204;
const chatKeys = Array.from(
  { length: 13_000 },
  (_, index) => BigInt.asUintN(64, BigInt(index + 1) * 0x9e3779b97f4a7c15n),
);

function setPool(
  world: World,
  options: { count: number; loadTokens?: number; domains?: number },
): void {
  world.pool = PoolView.create({
    rampUpMs: 1000,
    holdDownMs: 1000,
    maximumHoldDownMs: 60_000,
  });
  world.key = 42n;
  world.tried = new Set();
  for (let index = 0; index < options.count; index++) {
    addRunner(world, {
      id: `runner-${index}`,
      domain: index % (options.domains ?? 1) + 1,
      loadTokens: options.loadTokens ?? 0,
    });
  }
}

function addRunner(
  world: World,
  options: {
    id: string;
    domain?: number;
    loadTokens?: number;
    capacity?: number;
    joinedAtMs?: number;
  },
): void {
  world.pool.add({
    id: options.id,
    failureDomain: `domain-${options.domain ?? 1}`,
    capacity: options.capacity ?? 1,
    loadTokens: options.loadTokens ?? 0,
    observedAtMs: 0,
  }, { joinedAtMs: options.joinedAtMs ?? -1000, nowMs: 0 });
}

function getRank(world: World, rank: number): string {
  return rankRunners(world.key, world.pool.getCandidates(0))[rank].id;
}

function observe(world: World, loadTokens: number, observedAtMs: number) {
  world.pool.observeLoad(getRank(world, 0), { loadTokens, observedAtMs });
}

Then(
  "{int} random pools are ranked identically in any list order",
  (runs: number) => {
    const runner = fc.record({
      id: fc.uuid(),
      capacity: fc.integer({ min: 1, max: 8 }),
    });
    const runners = fc.uniqueArray(runner, {
      selector: ({ id }) => id,
      minLength: 1,
      maxLength: 40,
    });
    fc.assert(
      fc.property(runners, fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }), (
        list,
        key,
      ) => {
        const whole = rankRunners(key, list);
        const reversed = rankRunners(key, [...list].reverse(), { count: 3 });
        assert.deepEqual(reversed, whole.slice(0, 3));
      }),
      { seed, numRuns: runs },
    );
  },
);

Given("a pool of {int} runners", function (this: World, count: number) {
  setPool(this, { count });
});

Given(
  "a pool of {int} runners of which one has twice the capacity",
  function (this: World, count: number) {
    setPool(this, { count: count - 1 });
    addRunner(this, { id: "large", capacity: 2 });
  },
);

Given(
  "a pool of {int} runners with a load of {int} each",
  function (this: World, count: number, loadTokens: number) {
    setPool(this, { count, loadTokens });
  },
);

Given(
  "a pool of {int} runners in {int} failure domains",
  function (this: World, count: number, domains: number) {
    setPool(this, { count, domains, loadTokens: 100 });
  },
);

Then(
  "the loss of a runner moves no chat with another home",
  function (this: World) {
    const before = [...this.pool.getCandidates(0)];
    const lost = before[4].id;
    const after = before.filter(({ id }) => id !== lost);
    for (const key of chatKeys) {
      const [home, next] = rankRunners(key, before, { count: 2 });
      const expected = home.id === lost ? next : home;
      assert.equal(rankRunners(key, after, { count: 1 })[0], expected);
    }
  },
);

Then(
  "that runner is the home of {int} in {int} chats",
  function (this: World, share: number, of: number) {
    const runners = this.pool.getCandidates(0);
    const homes = chatKeys.filter((key) =>
      rankRunners(key, runners, { count: 1 })[0].id === "large"
    );
    const expected = chatKeys.length * share / of;
    assert.ok(Math.abs(homes.length - expected) < expected * 0.1);
  },
);

When(
  /^the home of (?:a|the) chat reports a load of (\d+)$/,
  function (this: World, loadTokens: string) {
    observe(this, Number(loadTokens), 1);
  },
);

When(
  "rank {int} reports a load of {int}",
  function (this: World, rank: number, loadTokens: number) {
    this.pool.observeLoad(getRank(this, rank), {
      loadTokens,
      observedAtMs: 1,
    });
  },
);

When(
  "rank {int} has refused it as well",
  function (this: World, rank: number) {
    this.tried.add(getRank(this, rank));
  },
);

When("the home of a chat has refused it", function (this: World) {
  this.tried.add(getRank(this, 0));
});

When(
  "rank {int} is reported as the holder of a chat",
  function (this: World, rank: number) {
    this.holder = getRank(this, rank);
  },
);

Then("the chat goes to rank {int}", function (this: World, rank: number) {
  const choice = chooseChatRunner(
    {
      key: this.key,
      costTokens: 50,
      holder: this.holder,
      tried: this.tried,
    },
    this.pool,
    { nowMs: 0, spillMultiple: 1.1, minimumTokens: 0 },
  );
  assert.equal(choice?.rank, rank);
});

When(
  "this router has sent {int} tokens to a home at {int} ms",
  function (this: World, tokens: number, sentAtMs: number) {
    this.pool.begin({ runner: getRank(this, 0), tokens, sentAtMs });
  },
);

When(
  "a load record measured at {int} ms arrives late",
  function (this: World, observedAtMs: number) {
    observe(this, 1000, observedAtMs);
  },
);

When(
  "a load record measured at {int} ms arrives with {int} tokens",
  function (this: World, observedAtMs: number, loadTokens: number) {
    observe(this, loadTokens, observedAtMs);
  },
);

Then(
  "the expected load of the home is {int} tokens",
  function (this: World, tokens: number) {
    const view = this.pool.get(getRank(this, 0));
    assert.ok(view);
    assert.equal(getExpectedTokens(view), tokens);
  },
);

When(
  "a runner joins without load at {int} ms and ramps up for 1000 ms",
  function (this: World, joinedAtMs: number) {
    this.joined = "joined";
    addRunner(this, { id: this.joined, joinedAtMs });
  },
);

Then(
  "it offers {int} in 100 of its capacity at {int} ms",
  function (this: World, percent: number, nowMs: number) {
    const view = this.pool.get(this.joined);
    assert.ok(view);
    assert.equal(this.pool.getCapacity(view, nowMs) * 100, percent);
  },
);

Then(
  "a runner that is lost repeatedly is held down for {int}, {int} and {int} ms",
  function (this: World, first: number, second: number, third: number) {
    let nowMs = 0;
    for (const holdMs of [first, second, third]) {
      this.pool.remove("runner-0", { isLost: true, nowMs });
      addRunner(this, { id: "runner-0" });
      const isCandidate = (atMs: number) =>
        this.pool.getCandidates(atMs).some(({ id }) => id === "runner-0");
      assert.equal(isCandidate(nowMs + holdMs - 1), false);
      assert.equal(isCandidate(nowMs + holdMs), true);
      nowMs += holdMs;
    }
  },
);

Then("a runner that left as planned is not held down", function (this: World) {
  this.pool.remove("runner-1", { isLost: false, nowMs: 0 });
  addRunner(this, { id: "runner-1" });
  assert.ok(this.pool.getCandidates(0).some(({ id }) => id === "runner-1"));
});

function listDomains(world: World, failureDomain: string): Set<string> {
  const random = createSeededRandom(seed);
  const chosen = Array.from(
    { length: 100 },
    () =>
      chooseLookupRunner(world.pool.getCandidates(0), {
        random,
        failureDomain,
        tried: new Set(),
      })?.failureDomain ?? "",
  );
  return new Set(chosen);
}

Then(
  "lookups of {string} go to {string}",
  function (this: World, from: string, to: string) {
    assert.deepEqual([...listDomains(this, from)], [to]);
  },
);

When(
  "the runners of {string} are twice as loaded",
  function (this: World, domain: string) {
    for (const view of this.pool.getCandidates(0)) {
      const loadTokens = view.failureDomain === domain ? 200 : 100;
      this.pool.observeLoad(view.id, { loadTokens, observedAtMs: 1 });
    }
  },
);

Then(
  "lookups of {string} go to other domains as well",
  function (this: World, from: string) {
    assert.ok(listDomains(this, from).size > 1);
  },
);

Given("hints that last {int} ms", function (this: World, retentionMs: number) {
  this.nowMs = 0;
  this.hints = ChatHints.create({
    maximumHints: 10,
    retentionMs,
    getNowMs: () => this.nowMs,
  });
});

When(
  "a chat is recorded at {string} with {int} tokens",
  function (this: World, runner: string, tokens: number) {
    this.hints.record(7n, { runner, tokens });
  },
);

Then(
  "the hint points to {string} with {int} tokens",
  function (this: World, runner: string, tokens: number) {
    const hint = this.hints.find(7n);
    assert.deepEqual([hint?.runner, hint?.tokens], [runner, tokens]);
  },
);

Then(
  "after {int} ms there is no hint",
  function (this: World, durationMs: number) {
    this.nowMs += durationMs;
    assert.equal(this.hints.find(7n), undefined);
  },
);

Then(
  /^(\d+) held tokens and (no headroom|headroom) at the holder lead to "(\w+)"$/,
  (held: string, headroom: string, path: string) => {
    const chosen = chooseCachePath({
      localTokens: 0,
      heldTokens: Number(held),
      canHolderAdmit: headroom === "headroom",
      canRedirect: true,
    }, {
      prefillTokensPerSecond: 10_000,
      transferTokensPerSecond: 50_000,
      transferStartMs: 20,
      redirectMs: 4,
    });
    assert.equal(chosen, path);
  },
);

Then(
  "{int} random chats keep their block hashes as they grow",
  (runs: number) => {
    const message = fc.record({
      role: fc.constantFrom("user", "assistant"),
      content: fc.string({ maxLength: 700 }),
    });
    fc.assert(
      fc.property(fc.array(message, { minLength: 1 }), (messages) => {
        const whole = hashPrefix(messages);
        const shorter = hashPrefix(messages.slice(0, -1));
        assert.deepEqual(whole.slice(0, shorter.length), shorter);
      }),
      { seed, numRuns: runs },
    );
  },
);
