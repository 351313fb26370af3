import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type { ListeningServer } from "@jasminetide/runtime/http";
import { HostList } from "./host_list/mod.ts";
import { ObjectApi, type StoreCopy } from "./object_api/mod.ts";
import { startPlatformServer } from "./platform_server.ts";

type World = {
  platformTimers: VirtualTimerService;
  objects: ObjectApi;
  platform: ListeningServer;
  statuses: number[];
  versions: number[];
  epochs: (string | null)[];
  copy: StoreCopy;
  watch: Promise<number>;
};

const broken = 0;
const lagMs = 500;

/** Sends a request; returns its status, or `broken` without an answer. */
async function send(
  world: World,
  path: string,
  init: RequestInit = {},
): Promise<number> {
  try {
    const url = `http://${world.platform.address}${path}`;
    const response = await fetch(url, init);
    world.epochs.push(response.headers.get("store-epoch"));
    const etag = response.headers.get("etag");
    if (etag !== null) world.versions.push(Number(etag.replaceAll('"', "")));
    await response.text();
    return response.status;
  } catch {
    return broken;
  }
}

function write(world: World, body = "1"): Promise<number> {
  return send(world, "/objects/k/a", { method: "PUT", body });
}

function remove(world: World, version: number): Promise<number> {
  const headers = { "if-match": `"${version}"` };
  return send(world, "/objects/k/a", { method: "DELETE", headers });
}

/** Starts a watch and waits until the platform has received it. */
async function startWatch(world: World, after: number): Promise<void> {
  const reads = world.objects.counts.reads;
  const path = `/objects/k/a?watch=1&after=${after}&timeoutMs=10000`;
  world.watch = send(world, path);
  while (world.objects.counts.reads === reads) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function getHosts(world: World): Promise<{ state: string }[]> {
  const response = await fetch(`http://${world.platform.address}/hosts`);
  return await response.json() as { state: string }[];
}

Given(
  "a platform stand-in that allows {int} reads and {int} writes per second",
  async function (
    this: World,
    readsPerSecond: number,
    writesPerSecond: number,
  ) {
    const timers = VirtualTimerService.create();
    this.platformTimers = timers;
    this.versions = [];
    this.epochs = [];
    this.objects = ObjectApi.create({
      timers,
      getRandom: () => 0.5,
      rates: { readsPerSecond, writesPerSecond },
    });
    this.platform = await startPlatformServer({
      address: "127.0.0.1:0",
      objects: this.objects,
      hosts: HostList.create({ timers, lagMs }),
    });
  },
);

After(async function (this: World) {
  await this.platform?.[Symbol.asyncDispose]();
});

When(
  "an object is written {int} times",
  async function (this: World, times: number) {
    this.statuses = [];
    for (let count = 0; count < times; count += 1) {
      this.statuses.push(await write(this));
    }
  },
);

Then(
  "the last write is limited with status {int}",
  function (this: World, status: number) {
    assert.deepEqual(this.statuses, [200, 200, 200, status]);
    assert.equal(this.objects.counts.limited, 1);
  },
);

When("a second passes on the platform", function (this: World) {
  this.platformTimers.advance(1000);
});

Then("a write is accepted again", async function (this: World) {
  assert.equal(await write(this), 200);
});

When(
  "{int} watches wait for an object",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index += 1) await startWatch(this, 0);
  },
);

Then(
  "a read is limited with status {int}",
  async function (this: World, status: number) {
    assert.equal(await send(this, "/objects/k/a"), status);
  },
);

When(
  "an object is written, deleted at its version and written again",
  async function (this: World) {
    await write(this);
    assert.equal(await remove(this, this.versions[0]), 200);
    assert.equal(await write(this), 200);
  },
);

Then("its version is higher than before", function (this: World) {
  const [first, deleted, second] = this.versions;
  assert.ok(first < deleted && deleted < second);
});

Then(
  "a deletion at the old version is a conflict",
  async function (this: World) {
    this.platformTimers.advance(1000);
    assert.equal(await remove(this, this.versions[0]), 412);
  },
);

When(
  "an object is deleted while it is watched",
  async function (this: World) {
    await write(this);
    await startWatch(this, this.versions[0]);
    await remove(this, this.versions[0]);
  },
);

Then(
  "the watch ends with status {int}",
  async function (this: World, status: number) {
    assert.equal(await this.watch, status);
  },
);

When(
  "the platform loses answers of writes and an object is written",
  async function (this: World) {
    this.objects.faults.lostWriteAnswers = 1;
    this.statuses = [await write(this)];
  },
);

Then(
  "the writer gets no answer and the object exists",
  async function (this: World) {
    assert.deepEqual(this.statuses, [broken]);
    assert.equal(await send(this, "/objects/k/a"), 200);
  },
);

When(
  "the platform serves stale reads and an object is written twice",
  async function (this: World) {
    await write(this, "first");
    await write(this, "second");
    const body = JSON.stringify({ staleReads: 1 });
    assert.equal(await send(this, "/faults", { method: "PUT", body }), 200);
  },
);

Then("a read returns the first value", async function (this: World) {
  const url = `http://${this.platform.address}/objects/k/a`;
  assert.equal(await (await fetch(url)).text(), "first");
});

When(
  "an outage begins while an object is watched",
  async function (this: World) {
    await write(this);
    await startWatch(this, this.versions[0]);
    this.objects.faults.outage = true;
    this.objects.store.put("k/a", "2", "any");
  },
);

Then("the watch and other reads get no answer", async function (this: World) {
  assert.equal(await this.watch, broken);
  assert.equal(await send(this, "/objects/k/a"), broken);
  assert.equal(await send(this, "/hosts"), broken);
});

When(
  "a host is put and marked as leaving over HTTP",
  async function (this: World) {
    const body = JSON.stringify({ failureDomain: "d", processes: [] });
    const put = await send(this, "/hosts/h1", { method: "PUT", body });
    const method = "POST";
    const leaving = await send(this, "/hosts/h1/leaving", { method });
    const unknown = await send(this, "/hosts/h2/leaving", { method });
    assert.deepEqual([put, leaving, unknown], [204, 204, 404]);
  },
);

Then(
  "the list shows it as leaving only after the delay",
  async function (this: World) {
    assert.deepEqual(await getHosts(this), []);
    this.platformTimers.advance(lagMs);
    const [host] = await getHosts(this);
    assert.equal(host.state, "leaving");
  },
);

When("the host is removed over HTTP", async function (this: World) {
  const method = "DELETE";
  assert.equal(await send(this, "/hosts/h1", { method }), 204);
});

Then("the list is empty only after the delay", async function (this: World) {
  assert.equal((await getHosts(this)).length, 1);
  this.platformTimers.advance(lagMs);
  assert.deepEqual(await getHosts(this), []);
});

const neverExisting = "/objects/k/b";

Then(
  "reads, writes, watches, refusals and the host list state epoch {int}",
  async function (this: World, epoch: number) {
    this.epochs = [];
    this.platformTimers.advance(1000);
    const put = { method: "PUT", body: "1" };
    const conflicting = { ...put, headers: { "if-match": '"999"' } };
    const statuses = [
      await send(this, "/objects/k/a", put),
      await send(this, "/objects/k/a", conflicting),
      await send(this, "/objects/k/a"),
      await send(this, neverExisting),
      await send(this, "/objects/k"),
      await send(this, "/objects/k/a?watch=1&after=999"),
      await send(this, "/objects/k/a"),
      await send(this, "/hosts"),
    ];
    this.platformTimers.advance(1000);
    statuses.push(
      await send(this, "/hosts"),
      await send(this, "/hosts/h9/leaving", { method: "POST" }),
      await send(this, "/counts"),
    );
    const expected = [200, 412, 200, 404, 200, 410, 200, 429, 200, 404, 200];
    assert.deepEqual(statuses, expected);
    assert.deepEqual(this.epochs, expected.map(() => String(epoch)));
  },
);

When("the store is restored from a copy", async function (this: World) {
  assert.equal(await send(this, "/copy", { method: "POST" }), 204);
  assert.equal(await send(this, "/restore", { method: "POST" }), 204);
});

When(
  "an object is written, the store is copied and the object is written again",
  async function (this: World) {
    await write(this, "first");
    this.copy = this.objects.store.copy();
    await write(this, "second");
  },
);

When("the platform is restored from the copy", function (this: World) {
  this.objects.store.restore(this.copy);
});

Then(
  "the next write gets the version of the lost one",
  async function (this: World) {
    await write(this, "third");
    const [, lost, third] = this.versions;
    assert.equal(third, lost);
  },
);

When(
  "the store is restored while an object is watched",
  async function (this: World) {
    await write(this, "first");
    await startWatch(this, this.versions[0]);
    this.objects.store.restore(this.objects.store.copy());
  },
);

Then(
  "the watch ends with status {int} in epoch {int}",
  async function (this: World, status: number, epoch: number) {
    assert.equal(await this.watch, status);
    assert.equal(this.epochs.at(-1), String(epoch));
  },
);

When("the object is written again", async function (this: World) {
  this.platformTimers.advance(1000);
  assert.equal(await write(this, "third"), 200);
});

/** Sends a call that expects an epoch of the store. */
function sendExpecting(
  world: World,
  epoch: number,
  call: { path: string; method: string; version?: number },
): Promise<number> {
  const headers = {
    "store-epoch": String(epoch),
    ...(call.version === undefined ? {} : { "if-match": `"${call.version}"` }),
  };
  const body = call.method === "PUT" ? { body: "fourth" } : {};
  return send(world, call.path, { method: call.method, headers, ...body });
}

Then(
  "a watch from the lost version ends with status {int}",
  async function (this: World, status: number) {
    const path = `/objects/k/a?watch=1&after=${this.versions[1]}`;
    assert.equal(await send(this, path), status);
  },
);

Then(
  /^a write on the lost version that expects epoch (\d+) is (a conflict|accepted)$/,
  async function (this: World, epoch: string, outcome: string) {
    const call = { path: "/objects/k/a", method: "PUT" };
    const status = await sendExpecting(this, Number(epoch), {
      ...call,
      version: this.versions[1],
    });
    assert.equal(status, outcome === "accepted" ? 200 : 412);
  },
);

Then(
  "a watch from the first version that expects epoch {int} ends with status {int}",
  async function (this: World, epoch: number, status: number) {
    const path = `/objects/k/a?watch=1&after=${this.versions[0]}`;
    const call = { path, method: "GET" };
    assert.equal(await sendExpecting(this, epoch, call), status);
  },
);
