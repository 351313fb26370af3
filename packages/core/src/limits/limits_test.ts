import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { createSeededRandom, type RandomSource } from "../random/mod.ts";
import { quotaGrantLifetimeMs, QuotaHolder } from "./quota_holder.ts";
import { quotaBurstMs, QuotaOwner } from "./quota_owner.ts";

type Admitted = { router: number; atMs: number };

type Run = {
  routers: number;
  requestsPerSecond: number;
  offeredPerSecond: number;
  durationMs: number;
  random: RandomSource;
  /** Share of the requests that the first router gets. */
  firstShare?: number;
  /** Share of the grants that are lost. */
  lossShare?: number;
  /** Time whose even share of the limit a router may use in advance. */
  advanceMs?: number;
  /** Time at which the owner changes, and how long both owners grant. */
  change?: { atMs: number; overlapMs: number };
};

type World = { run: Run; admitted: Admitted[] };

const seed = 20_261_205;
const bounds = { maximumWorkspaces: 10 };
const workspace = "w";
const stepMs = 10;
const requestPeriodMs = 250;
const requestTokens = 100;

function simulate(run: Run): Admitted[] {
  const owners = [QuotaOwner.create(bounds), QuotaOwner.create(bounds)];
  const holders = Array.from(
    { length: run.routers },
    () => QuotaHolder.create(bounds),
  );
  const admitted: Admitted[] = [];
  for (let nowMs = 0; nowMs < run.durationMs; nowMs += stepMs) {
    if (run.random.getFloat() < run.offeredPerSecond * stepMs / 1000) {
      const router = chooseRouter(run);
      const advance = getAdvance(run);
      const use = { workspace, tokens: requestTokens, nowMs, advance };
      if (holders[router].tryAdmit(use)) admitted.push({ router, atMs: nowMs });
    }
    if (nowMs % requestPeriodMs !== 0) continue;
    holders.forEach((holder, index) => {
      requestQuota(holder, {
        run,
        nowMs,
        owner: owners[getOwner(run, index, nowMs)],
      });
    });
  }
  return admitted;
}

function getAdvance({ advanceMs = 0, requestsPerSecond, routers }: Run) {
  const requests = requestsPerSecond / routers * advanceMs / 1000;
  return { requests, tokens: advanceMs * 1_000_000 };
}

function chooseRouter(run: Run): number {
  const { firstShare, random, routers } = run;
  if (firstShare === undefined) return random.getInteger(routers);
  if (random.getFloat() < firstShare) return 0;
  return 1 + random.getInteger(routers - 1);
}

/** During the overlap, odd routers already use the new owner. */
function getOwner(run: Run, router: number, nowMs: number): number {
  if (run.change === undefined || nowMs < run.change.atMs) return 0;
  if (nowMs >= run.change.atMs + run.change.overlapMs) return 1;
  return router % 2;
}

function requestQuota(
  holder: QuotaHolder,
  options: { run: Run; owner: QuotaOwner; nowMs: number },
): void {
  const { nowMs, owner, run } = options;
  const { random, requestsPerSecond } = run;
  const rate = { requests: requestsPerSecond, tokens: 1_000_000 };
  for (const { wanted } of holder.takeQuotaRequests()) {
    const quota = owner.grant({ workspace, wanted, rate, nowMs });
    if (random.getFloat() < (run.lossShare ?? 0)) continue;
    holder.applyGrant(workspace, { quota, nowMs });
  }
}

function getBound(run: Run, windowMs: number): number {
  const overlapMs = run.change?.overlapMs ?? 0;
  const { advanceMs = 0 } = run;
  const seconds =
    (windowMs + quotaGrantLifetimeMs + quotaBurstMs + overlapMs + advanceMs) /
    1000;
  return run.requestsPerSecond * seconds + run.routers;
}

Given(
  "{int} routers and a workspace limit of {int} requests a second",
  function (this: World, routers: number, requestsPerSecond: number) {
    this.run = {
      routers,
      requestsPerSecond,
      offeredPerSecond: 100,
      durationMs: 10_000,
      random: createSeededRandom(seed),
    };
  },
);

Then(
  "each router admits a first request at once",
  function (this: World) {
    for (let router = 0; router < this.run.routers; router++) {
      const holder = QuotaHolder.create(bounds);
      assert.ok(holder.tryAdmit({ workspace, tokens: 1, nowMs: 0 }));
    }
  },
);

When(
  "the workspace sends {int} requests a second for {int} seconds",
  function (this: World, offeredPerSecond: number, seconds: number) {
    const durationMs = seconds * 1000;
    this.admitted = simulate({ ...this.run, offeredPerSecond, durationMs });
  },
);

When(
  "one router gets 3 in 4 of {int} requests a second for {int} seconds",
  function (this: World, offeredPerSecond: number, seconds: number) {
    this.admitted = simulate({
      ...this.run,
      offeredPerSecond,
      durationMs: seconds * 1000,
      firstShare: 0.75,
    });
  },
);

Then(
  "between {int} and {int} requests are admitted",
  function (this: World, least: number, most: number) {
    const { length } = this.admitted;
    assert.ok(length >= least && length <= most, `${length} admitted`);
  },
);

Then("that router admits the most", function (this: World) {
  const first = this.admitted.filter(({ router }) => router === 0);
  assert.ok(first.length > this.admitted.length / 2);
});

Then(
  "in {int} random runs no window admits more than the bound",
  (numRuns: number) => {
    const run = fc.record({
      routers: fc.integer({ min: 1, max: 8 }),
      requestsPerSecond: fc.integer({ min: 1, max: 50 }),
      offeredPerSecond: fc.integer({ min: 1, max: 100 }),
      lossShare: fc.double({ min: 0, max: 0.5, noNaN: true }),
      advanceMs: fc.constantFrom(0, 1000),
      change: fc.option(
        fc.record({
          atMs: fc.integer({ min: 0, max: 5000 }),
          overlapMs: fc.integer({ min: 0, max: 3000 }),
        }),
        { nil: undefined },
      ),
      trafficSeed: fc.integer(),
    });
    fc.assert(
      fc.property(run, ({ trafficSeed, ...options }) => {
        const whole: Run = {
          ...options,
          durationMs: 8000,
          random: createSeededRandom(trafficSeed),
        };
        const times = simulate(whole).map(({ atMs }) => atMs);
        for (const [index, startMs] of times.entries()) {
          const windowMs = 2000;
          const end = times.findIndex((atMs) => atMs > startMs + windowMs);
          const count = (end < 0 ? times.length : end) - index;
          assert.ok(count <= getBound(whole, windowMs));
        }
      }),
      { seed, numRuns },
    );
  },
);
