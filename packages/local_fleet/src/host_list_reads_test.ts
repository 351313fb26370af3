import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import {
  createMembershipTables,
  defaultMembershipLimits,
} from "@jasminetide/core/membership";
import {
  createReadBudget,
  spendReadBudget,
} from "@jasminetide/runtime/membership";
import { type HostRecord, PlatformClient } from "@jasminetide/runtime/platform";
import type { LocalFleet } from "./local_fleet.ts";

type World = {
  fleet: LocalFleet;
  client: PlatformClient;
  readBytes: number[];
  hosts: HostRecord[];
};

When("a client reads the host list twice", async function (this: World) {
  this.client = PlatformClient.create({ address: this.fleet.platformAddress });
  await this.client.loadHosts();
  const first = this.client.hostListBytes;
  this.hosts = await this.client.loadHosts();
  this.readBytes = [first, this.client.hostListBytes - first];
});

Then(
  "the second read transfers fewer bytes than the list",
  function (this: World) {
    const [first, second] = this.readBytes;
    assert.ok(second < first);
    assert.equal(this.hosts.length, this.fleet.hosts.get().length);
  },
);

When(
  "a host starts leaving and the client reads again",
  async function (this: World) {
    this.fleet.hosts.drain(this.hosts[0].id);
    this.hosts = await this.client.loadHosts();
    await this.client[Symbol.asyncDispose]();
  },
);

Then("the client sees the change", function (this: World) {
  assert.equal(this.hosts[0].state, "leaving");
});

const tables = createMembershipTables({
  identity: {
    type: "router",
    name: "router-a",
    host: "host-a",
    failureDomain: "domain-a",
    region: "region-a",
    controlAddress: "127.0.0.1:1",
  },
  epoch: 1,
  capacity: 1,
  limits: defaultMembershipLimits,
  nowMs: 0,
});

Then(
  "a list of {int} bytes is read again after {int} seconds",
  function (sizeBytes: number, seconds: number) {
    const budget = createReadBudget(0);
    const waitMs = spendReadBudget(budget, { tables, sizeBytes, nowMs: 0 });
    assert.equal(Math.round(waitMs / 1000), seconds);
  },
);

Then(
  "a list of {int} bytes may be read each second for {int} seconds",
  function (sizeBytes: number, seconds: number) {
    const budget = createReadBudget(0);
    const waits = Array.from(
      { length: seconds + 20 },
      (_, second) =>
        spendReadBudget(budget, { tables, sizeBytes, nowMs: second * 1000 }),
    );
    assert.ok(waits.slice(0, seconds).every((waitMs) => waitMs === 0));
    assert.ok((waits.at(-1) ?? 0) > 0);
  },
);
