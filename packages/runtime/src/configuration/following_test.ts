import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hashText, splitDeclaration } from "@jasminetide/core/configuration";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import { isLaterPosition, type StorePosition } from "@jasminetide/core/store";
import { VirtualTimerService } from "@jasminetide/core/timers";
import fc from "fast-check";
import type { PeerClient } from "../control/mod.ts";
import { createSilentLogger } from "../logging/mod.ts";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
} from "../platform/mod.ts";
import {
  ConfigurationFollower,
  ConfigurationHolder,
  configurationObject,
  formatForPeer,
  getPartObject,
  selectParts,
} from "./mod.ts";

type Member = {
  address: string;
  holder: ConfigurationHolder;
  follower: ConfigurationFollower;
};

const stepMs = 100;

function createBody(mark: number) {
  return {
    formatVersion: 1,
    defaults: { request: { deadlineMs: 1000 + mark } },
    classes: [{ name: "interactive", priority: 0 }],
    workspaces: Array.from({ length: 20 }, (_, index) => ({
      id: `workspace-${index}`,
      keyHashes: [hashText(`${index} ${index === mark % 20 ? mark : 0}`)],
    })),
    models: [],
    services: [],
    exceptions: [],
  };
}

/** Followers that share an in-memory platform and a virtual clock. */
class FollowerHarness {
  readonly timers = VirtualTimerService.create(1_000_000);
  readonly members: Member[] = [];
  readonly random: RandomSource;
  readonly objects = new Map<string, StoredObject[]>();
  faults = { outage: false, slowMs: 0, staleReads: 0 };
  /** Forged answers of peers, by address. */
  forged = new Map<string, () => Promise<unknown>>();
  version = 0;

  constructor(count: number, seed: number) {
    this.random = createSeededRandom(seed);
    this.publish();
    for (let index = 0; index < count; index++) this.#add(index, count);
  }

  publish(): void {
    this.version += 1;
    const stored = splitDeclaration(createBody(this.version), {
      maximumUnsplitBytes: 10,
      meanPartEntries: 4,
    });
    for (const [hash, value] of stored.parts) {
      this.objects.set(getPath(getPartObject(hash)), [createStored(1, value)]);
    }
    const path = getPath(configurationObject);
    const history = this.objects.get(path) ?? [];
    history.push(createStored(this.version, stored.text));
    this.objects.set(path, history);
  }

  /** Advances the clock; at each step one member announces its version. */
  async advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      const from = this.members[this.random.getInteger(this.members.length)];
      const to = this.members[this.random.getInteger(this.members.length)];
      to.follower.observeVersion(from.holder.version, from.address);
      this.timers.advance(stepMs);
      await flush();
    }
  }

  [Symbol.dispose](): void {
    for (const { follower } of this.members) follower[Symbol.dispose]();
  }

  #add(index: number, count: number): void {
    const holder = ConfigurationHolder.create();
    const address = `127.0.0.1:${index}`;
    const follower = ConfigurationFollower.create({
      platform: this.#createPlatform(),
      holder,
      timers: this.timers,
      logger: createSilentLogger(),
      getPeer: (peer) => this.#getPeer(peer),
      isWatcher: () => index === 0,
      listPeers: () =>
        Array.from({ length: count }, (_, other) => `127.0.0.1:${other}`)
          .filter((other) => other !== address),
      whenReady: Promise.resolve(),
    });
    this.members.push({ address, holder, follower });
  }

  #createPlatform(): PlatformClient {
    const read = async (object: ObjectName) => {
      if (this.faults.slowMs > 0) await this.#wait(this.faults.slowMs);
      if (this.faults.outage) throw createOutageError();
      const history = this.objects.get(getPath(object)) ?? [];
      const isStale = this.random.getFloat() < this.faults.staleReads;
      return history.at(isStale && history.length > 1 ? -2 : -1);
    };
    const watch = async (
      object: ObjectName,
      options: { after: StorePosition },
    ) => {
      await this.#wait(stepMs);
      const stored = await read(object);
      const isNewer = stored !== undefined &&
        isLaterPosition(stored.position, options.after);
      return isNewer ? stored : undefined;
    };
    return { epoch: 0, get: read, watch } as unknown as PlatformClient;
  }

  #getPeer(address: string): PeerClient {
    const member = this.members.find((entry) => entry.address === address);
    const forged = this.forged.get(address);
    const getConfiguration = ({ afterVersion }: { afterVersion: number }) => {
      if (forged !== undefined) return forged();
      if (member === undefined) return Promise.reject(createOutageError());
      const isNewer = member.holder.version > afterVersion;
      return Promise.resolve(
        isNewer ? formatForPeer(member.holder.get()) : null,
      );
    };
    const getParts = ({ hashes }: { hashes: string[] }) =>
      Promise.resolve(
        member === undefined ? {} : selectParts(member.holder, hashes),
      );
    return {
      getConfiguration: { query: getConfiguration },
      getParts: { query: getParts },
    } as unknown as PeerClient;
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timers.schedule(durationMs, () => resolve());
    });
  }
}

function createStored(revision: number, value: string): StoredObject {
  return { position: { epoch: 0, revision }, value };
}

function getPath({ kind, name }: ObjectName): string {
  return `${kind}/${name}`;
}

function createOutageError() {
  return AppError.create("platformUnavailable", "Platform is down");
}

/** Lets pending promises settle. */
async function flush(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const eventArbitrary = fc.record({
  kind: fc.constantFrom("publish", "outage", "slow", "stale", "calm"),
  durationMs: fc.integer({ min: 1, max: 30 }).map((steps) => steps * stepMs),
});

async function runEvents(
  events: { kind: string; durationMs: number }[],
  seed: number,
): Promise<void> {
  using harness = new FollowerHarness(6, seed);
  for (const { durationMs, kind } of events) {
    harness.faults = {
      outage: kind === "outage",
      slowMs: kind === "slow" ? 300 : 0,
      staleReads: kind === "stale" ? 0.5 : 0,
    };
    if (kind === "publish") harness.publish();
    await harness.advance(durationMs);
  }
  harness.faults = { outage: false, slowMs: 0, staleReads: 0 };
  await harness.advance(20_000);
  for (const { holder } of harness.members) {
    const { body, version } = holder.get();
    assert.equal(version, harness.version);
    assert.equal(body.defaults.request.deadlineMs, 1000 + version);
    assert.equal(body.workspaces.length, 20);
  }
}

Then(
  "{int} random runs end with the last accepted declaration, seed {int}",
  { timeout: 60_000 },
  async function (numRuns: number, seed: number) {
    const events = fc.array(eventArbitrary, { minLength: 3, maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(events, fc.integer(), runEvents),
      { seed, numRuns },
    );
  },
);

type World = { following: FollowerHarness };

Given(
  "{int} processes that follow the declaration",
  async function (this: World, count: number) {
    this.following = new FollowerHarness(count, 1);
    await this.following.advance(1000);
  },
);

When(
  "a peer returns another body under the same hash to the second process",
  async function (this: World) {
    const { following } = this;
    const [first, second] = following.members;
    following.faults.outage = true;
    following.forged.set(first.address, () =>
      Promise.resolve({
        version: 2,
        hash: hashText("correct body"),
        text: JSON.stringify(createBody(99)),
      }));
    second.follower.observeVersion(2, first.address);
    await flush();
  },
);

Then(
  "the second process keeps version 1 and later applies the real version 2",
  async function (this: World) {
    const { following } = this;
    using _harness = following;
    const [, second] = following.members;
    assert.equal(second.holder.version, 1);
    following.forged.clear();
    following.faults.outage = false;
    following.publish();
    await following.advance(2000);
    assert.equal(second.holder.get().body.defaults.request.deadlineMs, 1002);
  },
);

When(
  "a peer announces a version and does not answer",
  function (this: World) {
    const [first, second] = this.following.members;
    this.following.forged.set(first.address, () => new Promise(() => {}));
    second.follower.observeVersion(2, first.address);
  },
);

Then(
  "the wait of the second process ends after {int} ms of virtual time",
  async function (this: World, durationMs: number) {
    using following = this.following;
    let isOver = false;
    void following.members[1].follower.sync().then(() => isOver = true);
    following.timers.advance(durationMs - 1);
    await flush();
    assert.equal(isOver, false);
    following.timers.advance(1);
    await flush();
    assert.equal(isOver, true);
  },
);

When(
  "an older declaration is applied after a newer one",
  async function (this: World) {
    const { following } = this;
    const { holder } = following.members[1];
    const older = holder.get();
    following.publish();
    await following.advance(2000);
    assert.equal(holder.version, 2);
    assert.equal(holder.apply(older), false);
  },
);

Then("the newer declaration stays current", function (this: World) {
  using following = this.following;
  assert.equal(following.members[1].holder.version, 2);
});

When(
  "an unreachable process announces version {int} to the second process",
  async function (this: World, version: number) {
    const { follower } = this.following.members[1];
    follower.observeVersion(version, "127.0.0.1:9999");
    await flush();
  },
);

Then(
  "the second process still fetches the next declaration from its peer",
  async function (this: World) {
    using following = this.following;
    const [first, second] = following.members;
    following.publish();
    following.faults.outage = false;
    while (first.holder.version < 2) await following.advance(stepMs);
    following.faults.outage = true;
    second.follower.observeVersion(2, first.address);
    await flush();
    assert.equal(second.holder.version, 2);
  },
);
