import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import {
  createDeclaration,
  startTestGateway,
  type TestGateway,
  TestSource,
} from "../test_support/mod.ts";
import { ObjectFollower } from "./mod.ts";

type World = {
  followedTimers: VirtualTimerService;
  followedSource: TestSource<string>;
  follower: ObjectFollower<string>;
  followedNames: string[];
  callsBefore: number;
  versionedGateway: TestGateway;
};

/** Lets the follower process pending changes; its promises settle in turn. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

async function advance(world: World, durationMs: number): Promise<void> {
  const endMs = world.followedTimers.nowMs() + durationMs;
  while (world.followedTimers.advanceToNext(endMs)) await settle();
  await settle();
}

Given(
  "a follower with runners {string}",
  async function (this: World, names: string) {
    this.followedTimers = VirtualTimerService.create(1000);
    this.followedSource = TestSource.create<string>();
    for (const name of names.split(" ")) this.followedSource.put(name, name);
    this.follower = ObjectFollower.create({
      name: "runners",
      source: this.followedSource,
      watchMs: 1800,
      keepMissingMs: 2500,
      timers: this.followedTimers,
      random: createSeededRandom(1),
      logger: createSilentLogger(),
      metrics: { countStoreLost: () => {} },
      onObjects: (objects) => {
        this.followedNames = [...objects.keys()].sort();
      },
    });
    await settle();
    assert.equal(this.followedNames.join(" "), names);
  },
);

After(function (this: World) {
  this.follower?.[Symbol.dispose]();
});

When(
  "runner {string} expires while the store is unavailable",
  async function (this: World, name: string) {
    this.followedSource.setUnavailable(true);
    await settle();
    this.followedSource.put(name, undefined);
    await advance(this, 2000);
  },
);

When("the store is available again", async function (this: World) {
  this.followedSource.setUnavailable(false);
  await advance(this, 900);
});

When("runner {string} expires", async function (this: World, name: string) {
  this.followedSource.put(name, undefined);
  await settle();
});

When(
  "runner {string} registers again",
  async function (this: World, name: string) {
    this.followedSource.put(name, name);
    await settle();
  },
);

When("{int} ms pass", async function (this: World, durationMs: number) {
  await advance(this, durationMs);
});

When(
  "the store is unavailable for {int} ms",
  async function (this: World, durationMs: number) {
    this.callsBefore = this.followedSource.calls;
    this.followedSource.setUnavailable(true);
    await settle();
    await advance(this, durationMs);
  },
);

Then(
  /^the follower (?:still )?has runners "(.*)"$/,
  function (this: World, names: string) {
    assert.equal(this.followedNames.join(" "), names);
  },
);

Then(
  "it receives between {int} and {int} calls in that time",
  function (this: World, minimum: number, maximum: number) {
    const calls = this.followedSource.calls - this.callsBefore;
    assert.ok(calls >= minimum && calls <= maximum, String(calls));
  },
);

Given(
  "a gateway with declaration {int}",
  async function (this: World, version: number) {
    this.versionedGateway = await startTestGateway();
    this.versionedGateway.declarations.put("main", createDeclaration(version));
    await waitUntilCaughtUp(this);
  },
);

After(async function (this: World) {
  await this.versionedGateway?.gateway[Symbol.asyncDispose]();
});

/** Waits until the gateway has read all changes. */
async function waitUntilCaughtUp(world: World): Promise<void> {
  const timers = RealTimerService.create();
  while (!world.versionedGateway.declarations.isCaughtUp) await wait(timers, 1);
}

When(
  "declaration {int} is written",
  async function (this: World, version: number) {
    this.versionedGateway.declarations.put("main", createDeclaration(version));
    await waitUntilCaughtUp(this);
  },
);

Then(
  "declaration {int} is current",
  function (this: World, version: number) {
    const { gateway } = this.versionedGateway;
    assert.equal(gateway.declarationVersion, version);
  },
);
