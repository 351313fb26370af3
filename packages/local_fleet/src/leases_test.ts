import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { getFencingEpoch, getPlacementDuty } from "@jasminetide/core/leases";
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

async function sendOrder(
  fleet: LocalFleet,
  fencingNumber: number,
  sidecar = fleet.sidecars[0],
) {
  const agent = new Agent();
  try {
    const client = createSidecarClient({
      address: sidecar.controlAddress,
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

When(
  "an order with fencing number {int} reaches a sidecar, then the store is restored",
  async function (this: World, fencingNumber: number) {
    const outcome = await sendOrder(this.fleet, fencingNumber);
    assert.equal(outcome.type, "done");
    const { store } = this.fleet.objects;
    store.restore(store.copy());
  },
);

When(
  "the store is restored from a copy without leases and statuses",
  function (this: World) {
    const { store } = this.fleet.objects;
    const { rows, version } = store.copy();
    const kept = [...rows].filter(([path]) => !/^(lease|status)\//.test(path));
    store.restore({ version, rows: new Map(kept) });
  },
);

Then(
  "one router holds the placement duty under a number of epoch {int}",
  { timeout: 30_000 },
  async function (this: World, epoch: number) {
    const listNumbers = () =>
      this.fleet.routers
        .map((router) => router.getFencingNumber(duty))
        .filter((number) => number !== undefined);
    await waitUntil(() => {
      const numbers = listNumbers();
      return numbers.length === 1 && getFencingEpoch(numbers[0]) === epoch;
    });
  },
);

Then(
  "an order with fencing number {int} is refused with code {int} and not executed",
  { timeout: 20_000 },
  async function (this: World, fencingNumber: number, code: number) {
    const [sidecar] = this.fleet.sidecars;
    await waitUntil(() => getFencingEpoch(sidecar.highestFencingNumber) > 0);
    this.outcome = await sendOrder(this.fleet, fencingNumber);
    assert.ok(this.outcome.type === "refused");
    assert.deepEqual([this.outcome.code, this.outcome.executed], [code, "no"]);
  },
);

Then(
  "so it is by a sidecar that takes its first order",
  async function (this: World) {
    const { sidecars } = this.fleet;
    const outcome = await sendOrder(this.fleet, 3, sidecars.at(-1));
    assert.ok(outcome.type === "refused");
    assert.ok(this.outcome.type === "refused");
    assert.equal(outcome.code, this.outcome.code);
    assert.equal(outcome.executed, "no");
  },
);

Then(
  "the store has the status of the placement again",
  { timeout: 20_000 },
  async function (this: World) {
    const { store } = this.fleet.objects;
    await waitUntil(() => store.get(`status/${duty}`) !== undefined);
  },
);
