import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import {
  createDeclaration,
  createRunnerRecord,
  startTestGateway,
  type TestGateway,
  TestSource,
  type TestSourceCopy,
} from "../test_support/mod.ts";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import type { RunnerRecord } from "../upstreams/mod.ts";
import { ObjectFollower } from "./mod.ts";

type World = {
  followedTimers: VirtualTimerService;
  followedSource: TestSource<string>;
  follower: ObjectFollower<string>;
  followedNames: string[];
  callsBefore: number;
  versionedGateway: TestGateway;
  followedCopy: TestSourceCopy<string>;
  declarationsCopy: TestSourceCopy<RoutingDeclaration>;
  runnersCopy: TestSourceCopy<RunnerRecord>;
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
      getWatchMs: () => 1800,
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

/** Fails the call that waits; later ones are answered. */
async function failCall(world: World): Promise<void> {
  world.followedSource.setUnavailable(true);
  await settle();
  world.followedSource.setUnavailable(false);
}

When(
  "one call to the store is lost, and runner {string} is removed before the next",
  async function (this: World, name: string) {
    await failCall(this);
    this.followedSource.put(name, undefined);
    await advance(this, 200);
  },
);

When(
  "one call to the store is lost and the next one is answered",
  async function (this: World) {
    await failCall(this);
    await advance(this, 200);
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

Given("a copy of the store", function (this: World) {
  this.followedCopy = this.followedSource.copy();
});

When("the store is restored from the copy", async function (this: World) {
  this.followedSource.restore(this.followedCopy);
  await settle();
});

Given("a copy of the declarations", function (this: World) {
  this.declarationsCopy = this.versionedGateway.declarations.copy();
});

When(
  "the declarations are restored from the copy",
  async function (this: World) {
    this.versionedGateway.declarations.restore(this.declarationsCopy);
    await waitUntilCaughtUp(this);
  },
);

/** Waits until the gateway has read all runners. */
async function waitForRunners(world: World): Promise<void> {
  const timers = RealTimerService.create();
  while (!world.versionedGateway.runners.isCaughtUp) await wait(timers, 1);
}

function createRecords(names: string): RunnerRecord[] {
  return names.split(" ").map((id) => createRunnerRecord(id, "127.0.0.1:1"));
}

Given(
  "a gateway with the runners {string}",
  async function (this: World, names: string) {
    this.versionedGateway = await startTestGateway();
    for (const record of createRecords(names)) {
      this.versionedGateway.runners.put(record.id, record);
    }
    await waitForRunners(this);
  },
);

Given("a copy of its store", function (this: World) {
  this.runnersCopy = this.versionedGateway.runners.copy();
});

When(
  "runner {string} drains and runner {string} is removed",
  async function (this: World, draining: string, removed: string) {
    const { runners } = this.versionedGateway;
    const [record] = createRecords(draining);
    runners.put(draining, { ...record, isDraining: true });
    runners.put(removed, undefined);
    await waitForRunners(this);
  },
);

When("its store is restored from the copy", async function (this: World) {
  this.versionedGateway.runners.restore(this.runnersCopy);
  await waitForRunners(this);
});

When("its store forgets its history", async function (this: World) {
  const { runners } = this.versionedGateway;
  const calls = runners.calls;
  runners.setHistoryLost(true);
  // The gateway notices it and reads the list.
  const timers = RealTimerService.create();
  while (runners.calls < calls + 2) await wait(timers, 1);
  runners.setHistoryLost(false);
  await waitForRunners(this);
});

When(
  "its store is restored from the copy while it is unavailable",
  async function (this: World) {
    const { runners } = this.versionedGateway;
    runners.setUnavailable(true);
    runners.restore(this.runnersCopy);
    runners.setUnavailable(false);
    await waitForRunners(this);
  },
);

When(
  "runners {string} write their entries again with a later heartbeat",
  async function (this: World, names: string) {
    for (const record of createRecords(names)) {
      const next = { ...record, heartbeat: record.heartbeat + 1 };
      this.versionedGateway.runners.put(record.id, next);
    }
    await waitForRunners(this);
  },
);

Then(
  "runner {string} drains and runner {string} is not known",
  function (this: World, draining: string, removed: string) {
    const records = this.versionedGateway.gateway.listRunners();
    const found = records.find(({ id }) => id === draining);
    assert.equal(found?.isDraining, true);
    assert.ok(!records.some(({ id }) => id === removed));
  },
);

Then("runners {string} are ready", function (this: World, names: string) {
  const ready = this.versionedGateway.gateway.listRunners()
    .filter(({ isDraining }) => !isDraining)
    .map(({ id }) => id);
  assert.equal(ready.sort().join(" "), names);
});

When("the follower is paused", function (this: World) {
  this.callsBefore = this.followedSource.calls;
  this.follower.setPaused(true);
});

When("the follower is resumed", async function (this: World) {
  this.follower.setPaused(false);
  await settle();
});

Then(
  "it has made at most {int} more call",
  function (this: World, limit: number) {
    assert.ok(this.followedSource.calls - this.callsBefore <= limit);
  },
);

When(
  "another process sends that {string} was added and {string} was removed",
  async function (this: World, added: string, removed: string) {
    // The store has the changes too, which the follower does not read.
    this.followedSource.put(added, added);
    this.followedSource.put(removed, undefined);
    const { position } = await this.followedSource.list();
    this.follower.applyNews({
      position,
      isWhole: false,
      changes: [
        { name: added, value: added },
        { name: removed, value: undefined },
      ],
      keepMissingMs: 0,
    });
  },
);

When(
  "another process after an outage sends that {string} was removed",
  async function (this: World, removed: string) {
    this.followedSource.put(removed, undefined);
    const { position } = await this.followedSource.list();
    this.follower.applyNews({
      position,
      isWhole: false,
      changes: [{ name: removed, value: undefined }],
      keepMissingMs: 2000,
    });
  },
);

Then(
  "a process at the first position gets {string} and that {string} is gone",
  function (this: World, added: string, removed: string) {
    const news = this.follower.selectNews({ epoch: 1, revision: 2 });
    assert.equal(news?.isWhole, false);
    assert.deepEqual(news?.changes, [
      { name: added, value: added },
      { name: removed, value: undefined },
    ]);
  },
);

Then(
  "a process of an earlier epoch gets all of {string}",
  function (this: World, names: string) {
    const news = this.follower.selectNews({ epoch: 0, revision: 99 });
    assert.equal(news?.isWhole, true);
    assert.equal(news?.changes.map(({ name }) => name).join(" "), names);
  },
);

Then("a process that is ahead gets nothing", function (this: World) {
  const news = this.follower.selectNews({ epoch: 1, revision: 99 });
  assert.equal(news, undefined);
});

When(
  "the store reports every watch as expired for {int} ms",
  async function (this: World, durationMs: number) {
    this.followedSource.setHistoryLost(true);
    await settle();
    this.callsBefore = this.followedSource.calls;
    await advance(this, durationMs);
  },
);

When(
  "the store leaves the next watch unanswered",
  async function (this: World) {
    this.followedSource.setUnavailable(false);
    this.followedSource.setSilent(true);
    await advance(this, 900);
  },
);

When("the store answers the watch", async function (this: World) {
  this.followedSource.setSilent(false);
  await advance(this, 200);
});
