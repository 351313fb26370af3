import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type {
  QuotaGrantMessage,
  QuotaRequestMessage,
} from "@jasminetide/runtime/control";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { Metrics } from "@jasminetide/runtime/metrics";
import {
  chooseOwner,
  type QuotaRouter,
  WorkspaceLimiter,
} from "./workspace_limiter.ts";

type World = {
  timers: VirtualTimerService;
  random: RandomSource;
  routers: QuotaRouter[];
  limiters: Map<string, WorkspaceLimiter>;
  link: "up" | "down" | "silent";
  /** Times of the quota requests. */
  requestedAtMs: number[];
  /** Admitted requests, by router. */
  admitted: Map<string, number>;
  refused: unknown[];
};

const startMs = 1_000_000;
const seed = 20_261_204;
const workspace = "w";

async function requestQuota(
  world: World,
  address: string,
  quotaRequests: QuotaRequestMessage[],
): Promise<QuotaGrantMessage[]> {
  world.requestedAtMs.push(world.timers.nowMs());
  if (world.link === "down") throw new Error("No route");
  if (world.link === "silent") return new Promise(() => {});
  await Promise.resolve();
  return world.limiters.get(address)?.grant(quotaRequests) ?? [];
}

function createLimiter(
  world: World,
  name: string,
  requestsPerSecond: number,
): WorkspaceLimiter {
  return WorkspaceLimiter.create({
    name,
    timers: world.timers,
    random: world.random,
    logger: createSilentLogger(),
    metrics: Metrics.create(),
    listRouters: () => world.routers,
    getRate: () => ({ requests: requestsPerSecond, tokens: 1_000_000 }),
    requestQuota: (address, quotaRequests) =>
      requestQuota(world, address, quotaRequests),
  });
}

/** Runs the microtasks that deliver pending answers. */
async function settleAnswers(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}

function offer(world: World, name: string): void {
  try {
    world.limiters.get(name)?.check(workspace, { tokens: 1 });
    world.admitted.set(name, (world.admitted.get(name) ?? 0) + 1);
  } catch (thrown) {
    world.refused.push(thrown);
  }
}

async function offerFor(
  world: World,
  options: { names: string[]; perSecond: number; seconds: number },
): Promise<void> {
  const { names, perSecond, seconds } = options;
  for (let index = 0; index < perSecond * seconds; index++) {
    for (const name of names) offer(world, name);
    world.timers.advance(1000 / perSecond);
    await settleAnswers();
  }
}

Given(
  "{int} routers that limit a workspace to {int} requests a second",
  function (this: World, count: number, requestsPerSecond: number) {
    this.timers = VirtualTimerService.create(startMs);
    this.random = createSeededRandom(seed);
    this.admitted = new Map();
    this.link = "up";
    this.requestedAtMs = [];
    this.refused = [];
    this.routers = Array.from({ length: count }, (_, index) => ({
      name: `router-${index}`,
      controlAddress: `router-${index}`,
    }));
    this.limiters = new Map(this.routers.map(({ name }) => [
      name,
      createLimiter(this, name, requestsPerSecond),
    ]));
  },
);

Given("no router can reach another", function (this: World) {
  this.link = "down";
});

Given("no owner answers", function (this: World) {
  this.link = "silent";
});

When(
  "each router is offered {int} requests a second for {int} seconds",
  async function (this: World, perSecond: number, seconds: number) {
    const names = [...this.limiters.keys()];
    await offerFor(this, { names, perSecond, seconds });
  },
);

When(
  "only one router is offered {int} requests a second for {int} seconds",
  async function (this: World, perSecond: number, seconds: number) {
    const names = [...this.limiters.keys()].slice(0, 1);
    await offerFor(this, { names, perSecond, seconds });
  },
);

When(
  "each router other than the owner is offered {int} requests a second for {int} seconds",
  async function (this: World, perSecond: number, seconds: number) {
    const owner = chooseOwner(workspace, this.routers)?.name;
    const names = [...this.limiters.keys()].filter((name) => name !== owner);
    await offerFor(this, { names, perSecond, seconds });
  },
);

When(
  "no request is offered for {int} seconds",
  async function (this: World, seconds: number) {
    await offerFor(this, { names: [], perSecond: 10, seconds });
  },
);

Then(
  "at least {int} and at most {int} of the offered requests are admitted",
  function (this: World, least: number, most: number) {
    const admitted = [...this.admitted.values()].reduce((sum, n) => sum + n, 0);
    assert.ok(admitted >= least && admitted <= most, `${admitted} admitted`);
  },
);

Then(
  "each router admits at least {int} of them",
  function (this: World, least: number) {
    for (const { name } of this.routers) {
      const admitted = this.admitted.get(name) ?? 0;
      assert.ok(admitted >= least, `${name} admitted ${admitted}`);
    }
  },
);

Then(
  "the refused requests have the result {string}",
  function (this: World, result: string) {
    assert.ok(this.refused.length > 0);
    for (const error of this.refused) {
      assert.ok(error instanceof AppError);
      assert.equal(error.result, result);
      assert.equal(error.executed, "no");
      assert.ok((error.retryAfterMs ?? 0) > 0);
    }
  },
);

Then(
  "no quota is requested in the last {int} seconds",
  function (this: World, seconds: number) {
    const sinceMs = this.timers.nowMs() - seconds * 1000;
    assert.ok(this.requestedAtMs.length > 0);
    assert.ok(this.requestedAtMs.every((atMs) => atMs <= sinceMs));
  },
);

Then(
  "quota is requested at most {int} times",
  function (this: World, most: number) {
    const { length } = this.requestedAtMs;
    assert.ok(length > 0 && length <= most, `${length} requests`);
  },
);

Then(
  "{int} workspaces have between {int} and {int} owned by each router",
  function (this: World, count: number, least: number, most: number) {
    const owned = new Map<string, number>();
    for (let index = 0; index < count; index++) {
      const name = chooseOwner(`w-${index}`, this.routers)?.name ?? "";
      owned.set(name, (owned.get(name) ?? 0) + 1);
    }
    for (const { name } of this.routers) {
      const share = owned.get(name) ?? 0;
      assert.ok(share >= least && share <= most, `${name} owns ${share}`);
    }
  },
);

Then("removing a router changes only the owners of its workspaces", function (
  this: World,
) {
  const [gone, ...left] = this.routers;
  for (let index = 0; index < 400; index++) {
    const before = chooseOwner(`w-${index}`, this.routers);
    if (before === gone) continue;
    assert.equal(chooseOwner(`w-${index}`, left), before);
  }
});
