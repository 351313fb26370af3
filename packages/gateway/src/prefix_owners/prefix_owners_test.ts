import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "@jasminetide/core/hashing";
import { PrefixHolders } from "@jasminetide/core/pools";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import {
  type DatagramMessage,
  decodeMessage,
  encodeMessage,
} from "../datagrams/mod.ts";
import { createRunnerRecord } from "../test_support/mod.ts";
import { Directory, type Upstream } from "../upstreams/mod.ts";
import { PrefixOwners } from "./mod.ts";

/** One of the gateways, and what it believes. */
type OwnerGateway = {
  directory: Directory;
  holders: PrefixHolders;
  owners: PrefixOwners;
  isCutOff: boolean;
  /** Messages that were sent to it. */
  received: DatagramMessage[];
};

type World = {
  ownerTimers: VirtualTimerService;
  ownerGateways: OwnerGateway[];
  /** Messages sent before the questions of a scenario. */
  sentBefore: number;
  waitedMs: number;
};

const prefixIds = Array.from({ length: 50 }, (_, index) => `prefix-${index}`);
const startMs = 1000;
const engineIds = ["e1", "e2"];

function getName(index: number): string {
  return `gateway-${index + 1}`;
}

function countMessages({ ownerGateways }: World): number {
  return ownerGateways.reduce((sum, each) => sum + each.received.length, 0);
}

/** Hands a message over as a datagram, unless its receiver is cut off. */
function deliver(
  world: World,
  message: DatagramMessage,
  { from, to }: { from: number; to: number },
): void {
  const sender = world.ownerGateways[from];
  const receiver = world.ownerGateways[to];
  const decoded = decodeMessage(encodeMessage(message));
  assert.ok(decoded);
  if (sender.isCutOff || receiver.isCutOff) return;
  receiver.received.push(decoded);
  receiver.owners.receive(decoded, getName(from));
}

function createGateway(
  world: World,
  index: number,
  count: number,
): OwnerGateway {
  const holders = PrefixHolders.create({ maxPrefixes: 1000 });
  const directory = Directory.create({
    timers: world.ownerTimers,
    logger: createSilentLogger(),
    onRemoved: (id) => holders.forgetRunner(id),
  });
  const records = engineIds.map((id) => createRunnerRecord(id, "127.0.0.1:1"));
  directory.apply(new Map(records.map((record) => [record.id, record])));
  const others = Array.from({ length: count }, (_, other) => other)
    .filter((other) => other !== index);
  const owners = PrefixOwners.create({
    timers: world.ownerTimers,
    directory,
    holders,
    selfHash: hash32(getName(index)),
    listPeers: () =>
      others.map((other) => ({
        nameHash: hash32(getName(other)),
        address: getName(other),
      })),
    send: (message, address) => {
      const to = Number(address.split("-")[1]) - 1;
      deliver(world, message, { from: index, to });
    },
  });
  return { directory, holders, owners, isCutOff: false, received: [] };
}

function createGateways(world: World, count: number): void {
  world.ownerTimers = VirtualTimerService.create(startMs);
  world.ownerGateways = [];
  for (let index = 0; index < count; index++) {
    world.ownerGateways.push(createGateway(world, index, count));
  }
}

function findEngine({ directory }: OwnerGateway, id: string): Upstream {
  const engine = directory.find(id);
  assert.ok(engine);
  return engine;
}

function sendPrefixes(world: World, gateway: number, engineId: string): void {
  const sender = world.ownerGateways[gateway - 1];
  const engine = findEngine(sender, engineId);
  for (const prefixId of prefixIds) sender.owners.record(prefixId, engine);
  world.sentBefore = countMessages(world);
}

function listKnown(world: World, prefixId: string): string[] {
  const { holders } = world.ownerGateways[1];
  return holders.listHolders(prefixId, world.ownerTimers.nowMs())
    .map(({ runnerId }) => runnerId);
}

Given(
  "{int} gateways that know the engines {string} and {string}, and pass datagrams on to each other",
  function (this: World, count: number, _first: string, _second: string) {
    createGateways(this, count);
  },
);

Given("a gateway without others", function (this: World) {
  createGateways(this, 1);
});

Given(
  "gateway {int} has sent 50 prefixes to engine {string}",
  function (this: World, gateway: number, engineId: string) {
    sendPrefixes(this, gateway, engineId);
  },
);

Given(
  "gateway {int} sends them to engine {string} {int} ms later",
  function (this: World, gateway: number, engineId: string, laterMs: number) {
    this.ownerTimers.advance(startMs + laterMs);
    sendPrefixes(this, gateway, engineId);
  },
);

Given("gateway {int} is cut off", function (this: World, gateway: number) {
  this.ownerGateways[gateway - 1].isCutOff = true;
});

Given(
  "engine {string} has restarted, as gateway {int} knows",
  function (this: World, engineId: string, gateway: number) {
    const { directory } = this.ownerGateways[gateway - 1];
    const records = directory.listRecords().map((record) =>
      record.id === engineId ? { ...record, startedAtMs: 2 } : record
    );
    directory.apply(new Map(records.map((record) => [record.id, record])));
  },
);

When(
  "gateway {int} asks for the holders of each",
  async function (this: World, gateway: number) {
    const { owners } = this.ownerGateways[gateway - 1];
    await Promise.all(prefixIds.map((prefixId) => owners.learn(prefixId)));
  },
);

When(
  "gateway {int} asks for the holders of each, one after the other",
  async function (this: World, gateway: number) {
    const { owners } = this.ownerGateways[gateway - 1];
    for (const prefixId of prefixIds) {
      const learned = owners.learn(prefixId);
      let isLearned = false;
      void learned.then(() => isLearned = true);
      await Promise.resolve();
      await Promise.resolve();
      if (!isLearned) this.ownerTimers.advanceToNext(startMs + 500);
      await learned;
    }
    this.waitedMs = this.ownerTimers.nowMs() - startMs;
  },
);

Then("it knows {string} for all of them", function (this: World, id: string) {
  for (const prefixId of prefixIds) {
    assert.deepEqual(listKnown(this, prefixId), [id]);
  }
});

Then(
  "it knows {string} before {string} for all of them",
  function (this: World, first: string, second: string) {
    for (const prefixId of prefixIds) {
      assert.deepEqual(listKnown(this, prefixId), [first, second]);
    }
  },
);

Then("it knows no holder of any", function (this: World) {
  for (const prefixId of prefixIds) {
    assert.deepEqual(listKnown(this, prefixId), []);
  }
});

Then(
  "each gateway was asked for a part of them, by one datagram each",
  function (this: World) {
    const asked = this.ownerGateways.map(({ received }) =>
      received.filter(({ type }) => type === "askHolders").length
    );
    const owned = asked.filter((_, index) => index !== 1);
    assert.ok(owned.every((count) => count > 0), asked.join(" "));
    assert.ok(asked.reduce((sum, count) => sum + count, 0) <= 50);
  },
);

Then("no datagram was sent after the placements", function (this: World) {
  assert.equal(countMessages(this), this.sentBefore);
});

Then(
  "it has waited {int} ms at most in all",
  function (this: World, limitMs: number) {
    assert.ok(this.waitedMs <= limitMs, String(this.waitedMs));
  },
);

Then(
  "it knows {string} for all that gateway {int} does not own",
  function (this: World, id: string, _gateway: number) {
    const known = prefixIds.filter((prefixId) =>
      listKnown(this, prefixId).includes(id)
    );
    // A sixth is owned by the gateway that is cut off.
    assert.ok(known.length >= 30, String(known.length));
  },
);

When("it asks for the holders of a prefix", async function (this: World) {
  await this.ownerGateways[0].owners.learn("prefix-0");
});

Then("it goes on at once", function (this: World) {
  assert.equal(this.ownerTimers.nowMs(), startMs);
  assert.equal(countMessages(this), 0);
});
