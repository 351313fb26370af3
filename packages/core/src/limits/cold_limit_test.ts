import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { hash32, type KnownRouters } from "../hashing/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import { ColdLimit } from "./cold_limit.ts";
import { KnownShare } from "./known_share.ts";
import { getRequestShare } from "./limit_share.ts";

type Run = {
  routers: number;
  durationMs: number;
  coldMs: number;
  perSecond: number | undefined;
  areKnown: boolean;
  /** Routers, the last ones, that only each of them knows. */
  joined?: number;
  /** Whether each of these knows the others but not those that joined. */
  isUnlisted?: boolean;
  hasRequest: (nowMs: number) => boolean;
};

type World = {
  areUnknown?: boolean;
  joined?: number;
  isUnlisted?: boolean;
  sentAtMs: number[];
  cold: ColdLimit;
  toleratedPerSecond: number;
  openedAtMs: number;
  mayBeSent: boolean[];
  computed: number;
  share: KnownShare;
};

const seed = 20_261_206;
const stepMs = 20;
const runnerHash = hash32("cold-runner");

/** Lets routers send as soon as they may; returns when they did. */
function simulate(run: Run): number[] {
  const sharers = listSharers(run);
  const limits = sharers.map(() => ColdLimit.create());
  for (const limit of limits) limit.record(run.coldMs, 0);
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < run.durationMs; nowMs += stepMs) {
    if (!run.hasRequest(nowMs)) continue;
    limits.forEach((limit, index) => {
      const use = {
        nowMs,
        runnerHash,
        sharers: sharers[index],
        perSecond: run.perSecond,
      };
      while (limit.getWaitMs(use) === 0) {
        limit.recordSend(nowMs);
        sentAtMs.push(nowMs);
        if (run.perSecond === undefined || nowMs >= run.coldMs) break;
      }
    });
  }
  return sentAtMs;
}

function listSharers(
  { areKnown, isUnlisted = false, joined = 0, routers }: Run,
): KnownRouters[] {
  const hashes = Array.from(
    { length: routers },
    (_, index) => hash32(`gateway-${index}`),
  );
  const before = hashes.slice(0, routers - joined);
  return hashes.map((selfHash, index) => {
    const isJoined = index >= before.length;
    const known = isJoined && !isUnlisted ? hashes : before;
    return {
      selfHash,
      isUnlisted: isJoined && isUnlisted,
      otherHashes: areKnown
        ? known.filter((hash) => hash !== selfHash)
        : undefined,
    };
  });
}

/** Gets the most requests in any second. */
function getBusiestSecond(sentAtMs: readonly number[]): number {
  return Math.max(
    0,
    ...sentAtMs.map((startMs) =>
      sentAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + 1000)
        .length
    ),
  );
}

Given(
  "routers that have just started and know no others",
  function (this: World) {
    this.areUnknown = true;
  },
);

Given(
  "{int} of the routers are not known to the others",
  function (this: World, joined: number) {
    this.joined = joined;
  },
);

Given(
  "{int} of the routers are in no list yet, and know {int} others",
  function (this: World, joined: number, _others: number) {
    this.joined = joined;
    this.isUnlisted = true;
  },
);

When(
  "{int} routers send all they may for {int} seconds to a runner that is cold for {int} ms and tolerates {int} requests a second",
  function (
    this: World,
    routers: number,
    seconds: number,
    coldMs: number,
    perSecond: number,
  ) {
    this.sentAtMs = simulate({
      routers,
      durationMs: seconds * 1000,
      coldMs,
      perSecond,
      areKnown: this.areUnknown !== true,
      joined: this.joined,
      isUnlisted: this.isUnlisted,
      hasRequest: () => true,
    });
  },
);

When(
  "{int} routers send all they may for {int} seconds to a cold runner without a declared limit",
  function (this: World, routers: number, seconds: number) {
    this.sentAtMs = simulate({
      routers,
      durationMs: seconds * 1000,
      coldMs: 3000,
      perSecond: undefined,
      areKnown: true,
      hasRequest: () => true,
    });
  },
);

Then(
  "no second has more than {int} requests",
  function (this: World, limit: number) {
    assert.ok(getBusiestSecond(this.sentAtMs) <= limit);
  },
);

Then(
  "the runner gets at least {int} requests",
  function (this: World, least: number) {
    assert.ok(this.sentAtMs.length >= least, String(this.sentAtMs.length));
  },
);

Then("the runner gets no request", function (this: World) {
  assert.equal(this.sentAtMs.length, 0);
});

Then(
  "in {int} random runs no second has more requests than a cold runner tolerates",
  function (numRuns: number) {
    const arbitraryRun = fc.record({
      routers: fc.integer({ min: 1, max: 100 }),
      perSecond: fc.double({ min: 0.5, max: 40, noNaN: true }),
      runSeed: fc.integer(),
    });
    fc.assert(
      fc.property(arbitraryRun, ({ perSecond, routers, runSeed }) => {
        const random = createSeededRandom(runSeed);
        const sentAtMs = simulate({
          routers,
          durationMs: 4000,
          coldMs: 5000,
          perSecond,
          areKnown: true,
          hasRequest: () => random.getFloat() < 0.2,
        });
        assert.ok(getBusiestSecond(sentAtMs) <= perSecond);
      }),
      { numRuns, seed },
    );
  },
);

const alone: KnownRouters = { selfHash: hash32("gateway-0"), otherHashes: [] };

Given(
  "a router that knows no other has sent {int} requests to a runner that is not cold",
  function (this: World, count: number) {
    this.cold = ColdLimit.create();
    for (let sent = 0; sent < count; sent++) this.cold.recordSend(0);
  },
);

When(
  "the runner becomes cold and tolerates {int} requests a second",
  function (this: World, perSecond: number) {
    this.toleratedPerSecond = perSecond;
    this.cold.record(3000, 0);
  },
);

Then(
  "the router waits {int} ms before it sends the next request",
  function (this: World, waitMs: number) {
    const use = {
      nowMs: 0,
      runnerHash,
      sharers: alone,
      perSecond: this.toleratedPerSecond,
    };
    assert.equal(this.cold.getWaitMs(use), waitMs);
  },
);

const waiting = { runnerHash, sharers: alone, perSecond: 23 };

Given(
  "a router that knows no other has sent {int} requests to a runner that is cold and tolerates {int} requests a second",
  function (this: World, count: number, _perSecond: number) {
    this.cold = ColdLimit.create();
    this.cold.record(5000, 0);
    for (let sent = 0; sent < count; sent++) this.cold.recordSend(0);
    this.openedAtMs = 30;
  },
);

Given(
  "they wait for connections for {int} ms, while the router sends {int} more",
  function (this: World, openedAtMs: number, count: number) {
    this.openedAtMs = openedAtMs;
    const nowMs = openedAtMs - 100;
    for (let sent = 0; sent < count; sent++) this.cold.recordSend(nowMs);
  },
);

When("their connections open", function (this: World) {
  const use = { ...waiting, nowMs: this.openedAtMs };
  this.mayBeSent = Array.from(
    { length: 23 },
    () => this.cold.trySend(0, use),
  );
});

Then(
  /^(all|none) of the requests that waited may be sent$/,
  function (this: World, which: string) {
    assert.ok(this.mayBeSent.every((may) => may === (which === "all")));
  },
);

Given("a share of a limit among 300 routers", function (this: World) {
  this.computed = 0;
  this.share = KnownShare.create((limit, routers) => {
    this.computed += 1;
    return getRequestShare(limit, routers);
  });
});

When(
  "it is asked for {int} times, before and after they change",
  function (this: World, times: number) {
    const otherHashes = Array.from({ length: 299 }, (_, index) => index);
    for (const others of [otherHashes, otherHashes.slice(1)]) {
      const routers = { selfHash: 300, otherHashes: others };
      for (let time = 0; time < times; time++) {
        this.share.get({ perSecond: 400, runnerHash }, routers);
      }
    }
  },
);

Then("it was computed {int} times", function (this: World, count: number) {
  assert.equal(this.computed, count);
});

Then(
  "in {int} random fleets whose routers each still list some that are gone, the shares stay within what a cold runner tolerates",
  function (numRuns: number) {
    const fleets = fc.record({
      live: fc.integer({ min: 1, max: 60 }),
      gone: fc.integer({ min: 0, max: 60 }),
      perSecond: fc.integer({ min: 1, max: 80 }),
      runSeed: fc.integer(),
    });
    fc.assert(
      fc.property(fleets, ({ gone, live, perSecond, runSeed }) => {
        const random = createSeededRandom(runSeed);
        const hashes = Array.from(
          { length: live + gone },
          (_, index) => hash32(`gateway-${runSeed}-${index}`),
        );
        const shares = hashes.slice(0, live).map((selfHash) => {
          const otherHashes = hashes.filter((hash, index) =>
            hash !== selfHash && (index < live || random.getFloat() < 0.5)
          );
          const routers = { selfHash, otherHashes };
          return getRequestShare({ perSecond, runnerHash }, routers);
        });
        const sum = shares.reduce((total, share) => total + share, 0);
        assert.ok(sum <= perSecond, `${sum} of ${perSecond}`);
      }),
      { numRuns, seed },
    );
  },
);
