import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { getPlacementDuty } from "@jasminetide/core/leases";
import type { Router } from "@jasminetide/router";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createSidecarClient,
  type OrderOutcome,
} from "@jasminetide/runtime/control";
import { Agent } from "undici";
import type { LocalFleet } from "./local_fleet.ts";

type World = {
  fleet: LocalFleet;
  stopped: Router;
  fencingNumber: number;
  outcome: OrderOutcome;
};

const timers = RealTimerService.create();
const duty = getPlacementDuty("local");

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => timers.schedule(5, resolve));
  }
}

function findHolder(fleet: LocalFleet): Router | undefined {
  const holders = fleet.routers.filter((router) =>
    router.getFencingNumber(duty) !== undefined
  );
  assert.ok(holders.length <= 1);
  return holders[0];
}

async function sendOrder(fleet: LocalFleet, fencingNumber: number) {
  const agent = new Agent();
  try {
    const client = createSidecarClient({
      address: fleet.sidecars[0].controlAddress,
      dispatcher: agent,
    });
    return await client.order.mutate({
      duty,
      fencingNumber,
      order: { type: "set-role", role: "mixed" },
    });
  } finally {
    await agent.destroy();
  }
}

Then("one router holds every duty", async function (this: World) {
  await waitUntil(() => findHolder(this.fleet) !== undefined);
  this.fencingNumber = findHolder(this.fleet)?.getFencingNumber(duty) ?? 0;
  assert.equal(this.fencingNumber, 1);
});

When(
  "the router that holds the placement duty stops",
  async function (this: World) {
    const holder = findHolder(this.fleet);
    assert.ok(holder !== undefined);
    this.stopped = holder;
    await holder[Symbol.asyncDispose]();
  },
);

Then(
  "the other router holds it under a higher fencing number",
  { timeout: 20_000 },
  async function (this: World) {
    const other = this.fleet.routers.find((router) => router !== this.stopped);
    assert.ok(other !== undefined);
    await waitUntil(() =>
      (other.getFencingNumber(duty) ?? 0) > this.fencingNumber
    );
  },
);

When(
  "an order with fencing number {int} reaches a sidecar, then one with {int}",
  async function (this: World, first: number, second: number) {
    await sendOrder(this.fleet, first);
    this.outcome = await sendOrder(this.fleet, second);
  },
);

Then(
  "the second order is refused with code {int} and not executed",
  function (this: World, code: number) {
    assert.ok(this.outcome.type === "refused");
    assert.deepEqual([this.outcome.code, this.outcome.executed], [code, "no"]);
  },
);

When(
  "the platform goes down before an order with fencing number {int} arrives",
  async function (this: World, fencingNumber: number) {
    this.fleet.objects.faults.outage = true;
    this.outcome = await sendOrder(this.fleet, fencingNumber);
  },
);

Then(
  "the order is refused with code {int} unless the runner reports a number",
  function (this: World, code: number) {
    const { outcome } = this;
    assert.ok(
      outcome.type === "done" ||
        (outcome.code === code && outcome.executed === "no"),
    );
  },
);
