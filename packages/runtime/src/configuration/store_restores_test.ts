import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hashText } from "@jasminetide/core/configuration";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type { PeerClient } from "../control/mod.ts";
import { createSilentLogger } from "../logging/mod.ts";
import {
  MemoryClient,
  type MemoryCopy,
  MemoryStore,
} from "../test_support/memory_store.ts";
import {
  ConfigurationFollower,
  ConfigurationHolder,
  formatForPeer,
  loadAccepted,
  publishConfiguration,
  selectParts,
} from "./mod.ts";

type Member = {
  address: string;
  holder: ConfigurationHolder;
  follower: ConfigurationFollower;
};

const stepMs = 100;

/** Operator and processes that follow the declarations of one store. */
class RestoreHarness {
  readonly timers = VirtualTimerService.create(1_000_000);
  readonly store = new MemoryStore();
  readonly members: Member[] = [];
  /** Hash of the text of each version that was in force anywhere. */
  readonly texts = new Map<number, string>();
  copy: MemoryCopy = this.store.copy();
  doWatch = true;

  async publish(mark: string, workspaces = 1): Promise<void> {
    const operator = new MemoryClient(this.store, this.timers);
    const base = await loadAccepted(operator.client);
    await publishConfiguration(operator.client, {
      text: createText(mark, workspaces),
      expectedVersion: base?.version ?? 0,
    });
  }

  /** Advances the clock; each process hears of the versions of all others. */
  async advance(durationMs: number, check = () => {}): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.timers.advance(stepMs);
      await flush();
      this.gossip();
      await flush();
      this.#record();
      check();
    }
  }

  gossip(): void {
    for (const to of this.members) {
      for (const from of this.members) {
        to.follower.observeVersion(from.holder.version, from.address);
      }
    }
  }

  add(): Member {
    const address = `127.0.0.1:${this.members.length + 1}`;
    const index = this.members.length;
    const holder = ConfigurationHolder.create();
    const follower = ConfigurationFollower.create({
      platform: new MemoryClient(this.store, this.timers).client,
      holder,
      timers: this.timers,
      logger: createSilentLogger(),
      getPeer: (peer) => this.#getPeer(peer),
      isWatcher: () => index < 2 && this.doWatch,
      listPeers: () => this.members.map((member) => member.address),
      whenReady: Promise.resolve(),
    });
    const member = { address, holder, follower };
    this.members.push(member);
    return member;
  }

  [Symbol.dispose](): void {
    for (const { follower } of this.members) follower[Symbol.dispose]();
  }

  #record(): void {
    for (const { holder } of this.members) {
      if (!holder.isLoaded) continue;
      const { hash, version } = holder.get();
      assert.equal(this.texts.get(version) ?? hash, hash);
      this.texts.set(version, hash);
    }
  }

  #getPeer(address: string): PeerClient {
    const member = this.members.find((entry) => entry.address === address);
    assert.ok(member !== undefined);
    const { holder } = member;
    const getConfiguration = ({ afterVersion }: { afterVersion: number }) =>
      Promise.resolve(
        holder.version > afterVersion ? formatForPeer(holder.get()) : null,
      );
    const getParts = ({ hashes }: { hashes: string[] }) =>
      Promise.resolve(selectParts(holder, hashes));
    return {
      getConfiguration: { query: getConfiguration },
      getParts: { query: getParts },
    } as unknown as PeerClient;
  }
}

/** Creates a declaration whose mark is the name of its request class. */
function createText(mark: string, workspaces: number): string {
  return JSON.stringify({
    formatVersion: 1,
    defaults: {},
    classes: [{ name: mark, priority: 0 }],
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      id: `workspace-${index}`,
      keyHashes: [hashText(`${index}`)],
    })),
    models: [],
    services: [],
    exceptions: [],
  });
}

async function flush(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function getMark(holder: ConfigurationHolder): string {
  return holder.isLoaded ? holder.get().body.classes[0].name : "";
}

type World = { restores: RestoreHarness };

/** Enough workspaces for a declaration that is stored in parts. */
const manyWorkspaces = 1000;

Given(
  "{int} processes that follow the declarations of a store",
  function (this: World, count: number) {
    this.restores = new RestoreHarness();
    for (let index = 0; index < count; index += 1) this.restores.add();
  },
);

Given(
  "declaration {string} is published and the store is copied",
  async function (this: World, mark: string) {
    await this.restores.publish(mark);
    await this.restores.advance(2000);
    this.restores.copy = this.restores.store.copy();
  },
);

When(
  /^(long )?declaration "(.)" is published$/,
  async function (this: World, long: string | null, mark: string) {
    const { restores } = this;
    await restores.publish(mark, long === null ? 1 : manyWorkspaces);
    await restores.advance(2000);
    for (const { holder } of restores.members) {
      assert.equal(getMark(holder), mark);
    }
  },
);

When(
  "the store of declarations is restored from the copy",
  function (this: World) {
    this.restores.store.restore(this.restores.copy);
  },
);

When("the store of declarations is restored empty", function (this: World) {
  this.restores.store.restore({ revision: 0, rows: new Map() });
});

When(
  "the store of declarations is restored while nobody writes again",
  function (this: World) {
    this.restores.doWatch = false;
    this.restores.store.restore(this.restores.copy);
  },
);

When(
  "declaration {string} is published before the processes notice",
  async function (this: World, mark: string) {
    await this.restores.publish(mark);
  },
);

Then(
  "the processes have {string} at all times",
  async function (this: World, mark: string) {
    const { restores } = this;
    await restores.advance(5000, () => {
      for (const { holder } of restores.members) {
        assert.equal(getMark(holder), mark);
      }
    });
  },
);

Then(
  "the processes come to have {string}",
  async function (this: World, mark: string) {
    const { restores } = this;
    await restores.advance(5000);
    for (const { holder } of restores.members) {
      assert.equal(getMark(holder), mark);
    }
  },
);

Then(
  "the store holds declaration {string} with its version",
  async function (this: World, mark: string) {
    const { members, store, timers } = this.restores;
    const operator = new MemoryClient(store, timers);
    const accepted = await loadAccepted(operator.client);
    const { holder } = members[0];
    assert.equal(accepted?.body.classes[0].name, mark);
    assert.equal(accepted.version, holder.version);
    assert.equal(accepted.hash, holder.get().hash);
  },
);

Then(
  "a process that starts has {string}",
  async function (this: World, mark: string) {
    const member = this.restores.add();
    await this.restores.advance(2000);
    assert.equal(getMark(member.holder), mark);
  },
);

Then("each version had one declaration", function (this: World) {
  using restores = this.restores;
  const hashes = [...restores.texts.values()];
  assert.equal(new Set(hashes).size, hashes.length);
  assert.equal(hashes.length, 4);
});

Then(
  "a process that starts has {string} at once",
  async function (this: World, mark: string) {
    using restores = this.restores;
    const { holder } = restores.add();
    const marks: string[] = [];
    using _subscription = holder.subscribe(() => marks.push(getMark(holder)));
    restores.gossip();
    await restores.advance(2000);
    assert.deepEqual(marks, [mark]);
  },
);
