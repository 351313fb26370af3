import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { createSeededRandom, type RandomSource } from "../random/mod.ts";
import { decodePosition, encodePosition } from "../store/mod.ts";
import {
  addDuty,
  applyHolderAlive,
  applyLeaseFailure,
  applyLeaseRead,
  applyLeaseWritten,
  applyStoreEpoch,
  createLeaseTables,
  FencedOrders,
  FencingGuard,
  getFencingEpoch,
  getFencingFloor,
  isHeld,
  isHeldBySelf,
  type LeaseCommand,
  type LeaseTables,
  type StoredLease,
  updateLeases,
} from "./mod.ts";

const duty = "placement-region-1";
const leaseMs = 10_000;
const stepMs = 500;

type Router = {
  tables: LeaseTables;
  hasCrashed: boolean;
  isLeaving: boolean;
  pausedUntilMs: number;
  /** Commands of the last tick, run at the next one. */
  pending: LeaseCommand[];
};

type Faults = {
  outage: boolean;
  lostAnswers: number;
  staleReads: number;
};

/** Routers, one lease object and the guard of one sidecar. */
class LeaseWorld {
  readonly routers: Router[];
  readonly random: RandomSource;
  readonly faults: Faults = { outage: false, lostAnswers: 0, staleReads: 0 };
  guard = FencingGuard.create();
  /** Leases in the order of their writes; versions are encoded positions. */
  history: StoredLease[] = [];
  storeEpoch = 0;
  /** Holder of each fencing number under which an order was accepted. */
  readonly holders = new Map<number, string>();
  accepted: number[] = [];
  reads = 0;
  writes = 0;
  nowMs = 1_000_000;
  #attempts = 0;

  constructor(count: number, seed: number) {
    this.random = createSeededRandom(seed);
    this.routers = Array.from({ length: count }, (_, index) => {
      const self = {
        name: `router-${index}`,
        epoch: 1,
        controlAddress: "127.0.0.1:1",
      };
      const tables = createLeaseTables({ self, leaseMs });
      addDuty(tables, duty);
      return {
        tables,
        hasCrashed: false,
        isLeaving: false,
        pausedUntilMs: 0,
        pending: [],
      };
    });
    this.guard.observe(0);
  }

  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += stepMs;
      for (const router of this.routers) this.#tick(router);
      this.#checkHolders();
    }
  }

  /** Asserts that no router acts on a lease that it knows to be void. */
  #checkHolders(): void {
    for (const router of this.listHolders()) {
      const { duties, storeEpoch } = router.tables;
      const fencingNumber = duties.get(duty)?.lease?.fencingNumber ?? 0;
      assert.equal(getFencingEpoch(fencingNumber), storeEpoch);
    }
  }

  listHolders(): Router[] {
    return this.routers.filter((router) =>
      !router.hasCrashed && isHeld(router.tables, duty, this.nowMs)
    );
  }

  /** Issues an order under the lease that the router last observed. */
  order(router: Router): void {
    const row = router.tables.duties.get(duty);
    assert.ok(row?.lease !== undefined);
    this.guard.admit(row.lease.fencingNumber);
    this.accepted.push(row.lease.fencingNumber);
    const holder = JSON.stringify(row.lease.holder);
    const known = this.holders.get(row.lease.fencingNumber) ?? holder;
    assert.equal(known, holder, "Two holders had the same fencing number");
    this.holders.set(row.lease.fencingNumber, holder);
  }

  /** Restores the store from a copy without the last leases. */
  restore(lostCount: number): void {
    this.storeEpoch += 1;
    this.history = this.history
      .slice(0, Math.max(0, this.history.length - lostCount))
      .map(({ lease, version }) => {
        const { revision } = decodePosition(version);
        const position = { epoch: this.storeEpoch, revision };
        return { lease, version: encodePosition(position) };
      });
  }

  /** Creates a guard and observes the number, as a restarted sidecar does. */
  restartSidecar(): void {
    this.guard = FencingGuard.create();
    assert.ok(this.observe());
  }

  /**
   * Observes the number as a sidecar does: the read counts only if a
   * conditional write would confirm it.
   */
  observe(): boolean {
    if (this.faults.outage) return false;
    const stored = this.#read();
    const current = this.history.at(-1);
    if (stored?.version !== current?.version) return false;
    const floor = getFencingFloor(this.storeEpoch);
    this.guard.observe(Math.max(current?.lease.fencingNumber ?? 0, floor));
    return true;
  }

  #tick(router: Router): void {
    if (router.hasCrashed || this.nowMs < router.pausedUntilMs) return;
    const commands = router.pending;
    router.pending = [];
    for (const command of commands) this.#run(router, command);
    router.pending = updateLeases(router.tables, {
      nowMs: this.nowMs,
      candidates: this.routers
        .filter((other) => !other.hasCrashed && !other.isLeaving)
        .map(({ tables }) => tables.self),
      isLeaving: router.isLeaving,
      createAttempt: () => String(this.#attempts++),
    });
  }

  #run({ tables }: Router, command: LeaseCommand): void {
    const { nowMs } = this;
    const fail = () => applyLeaseFailure(tables, duty, nowMs);
    switch (command.type) {
      case "ping-holder": {
        const holder = this.routers.find((router) =>
          router.tables.self.name === command.holder.name
        );
        const isAlive = holder !== undefined && !holder.hasCrashed &&
          nowMs >= holder.pausedUntilMs;
        return isAlive ? applyHolderAlive(tables, duty, nowMs) : fail();
      }
      case "read-lease":
        if (this.faults.outage) return fail();
        applyStoreEpoch(tables, this.storeEpoch);
        return applyLeaseRead(tables, duty, { stored: this.#read(), nowMs });
      case "write-lease": {
        const version = this.#write(command);
        if (!this.faults.outage) applyStoreEpoch(tables, this.storeEpoch);
        if (version === undefined) return fail();
        return applyLeaseWritten(tables, duty, { version, nowMs });
      }
    }
  }

  #read(): StoredLease | undefined {
    this.reads += 1;
    const isStale = this.random.getFloat() < this.faults.staleReads;
    return this.history.at(isStale ? -2 : -1);
  }

  #write(
    command: Extract<LeaseCommand, { type: "write-lease" }>,
  ): number | undefined {
    if (this.faults.outage) return undefined;
    this.writes += 1;
    const version = this.history.at(-1)?.version ??
      encodePosition({ epoch: this.storeEpoch, revision: 0 });
    if (version !== command.expectedVersion) return undefined;
    this.history.push({ lease: command.lease, version: version + 1 });
    return this.random.getFloat() < this.faults.lostAnswers
      ? undefined
      : version + 1;
  }
}

type World = { leases: LeaseWorld; holder: Router; fencingNumber: number };

function getHolder(world: World): Router {
  const [holder, ...others] = world.leases.listHolders();
  assert.ok(holder !== undefined && others.length === 0);
  return holder;
}

function getNumber(router: Router): number {
  return router.tables.duties.get(duty)?.lease?.fencingNumber ?? 0;
}

Given(
  "{int} routers with one duty, seed {int}",
  function (this: World, count: number, seed: number) {
    this.leases = new LeaseWorld(count, seed);
  },
);

When("{int} seconds pass", function (this: World, seconds: number) {
  this.leases.advance(seconds * 1000);
});

Then("exactly one router holds the duty", function (this: World) {
  this.holder = getHolder(this);
  this.fencingNumber = getNumber(this.holder);
});

When(
  /^its holder (crashes|leaves) and (\d+) seconds pass$/,
  function (this: World, event: string, seconds: string) {
    this.holder = getHolder(this);
    this.fencingNumber = getNumber(this.holder);
    if (event === "crashes") this.holder.hasCrashed = true;
    else this.holder.isLeaving = true;
    this.leases.advance(Number(seconds) * 1000);
  },
);

Then(
  "exactly one other router holds it with a higher fencing number",
  function (this: World) {
    const holder = getHolder(this);
    assert.notEqual(holder, this.holder);
    assert.ok(getNumber(holder) > this.fencingNumber);
  },
);

When(
  "its holder is paused for {int} seconds and then issues an order",
  function (this: World, seconds: number) {
    this.holder = getHolder(this);
    this.holder.pausedUntilMs = this.leases.nowMs + seconds * 1000;
    this.leases.advance(seconds * 1000 - stepMs);
    this.leases.order(getHolder(this));
  },
);

Then("the order is refused for its fencing number", function (this: World) {
  const row = this.holder.tables.duties.get(duty);
  assert.ok(row !== undefined && isHeldBySelf(this.holder.tables, row));
  assert.throws(() => this.leases.order(this.holder), {
    result: "staleFencingNumber",
    executed: "no",
  });
});

When("the sidecar restarts", function (this: World) {
  this.leases.guard = FencingGuard.create();
});

Then(
  "an order is refused until the highest number is observed",
  function (this: World) {
    const holder = getHolder(this);
    assert.throws(() => this.leases.order(holder), {
      result: "platformUnavailable",
      executed: "no",
    });
    assert.ok(this.leases.observe());
    this.leases.order(holder);
  },
);

When(
  "the store is restored with its last {int} leases lost",
  function (this: World, lostCount: number) {
    this.holder = getHolder(this);
    this.leases.restore(lostCount);
  },
);

Then(
  "the holder no longer holds the duty once it notices",
  function (this: World) {
    const { tables } = this.holder;
    applyStoreEpoch(tables, this.leases.storeEpoch);
    assert.equal(isHeld(tables, duty, this.leases.nowMs), false);
  },
);

Then(
  "exactly one router holds it with a fencing number of epoch {int}",
  function (this: World, epoch: number) {
    assert.equal(getFencingEpoch(getNumber(getHolder(this))), epoch);
  },
);

When("the sidecar restarts and observes the number", function (this: World) {
  this.leases.restartSidecar();
});

When("the sidecar notices the restore", async function (this: World) {
  const { leases } = this;
  const orders = FencedOrders.create({
    fetchHighest: () => Promise.resolve(getNumber(this.holder)),
  });
  await orders.run(getNumber(this.holder), () => Promise.resolve());
  orders.observeStoreEpoch(leases.storeEpoch);
  leases.guard.observe(orders.highest);
});

Then(
  "an order of a holder that has not noticed the restore is refused",
  function (this: World) {
    const { tables } = this.holder;
    assert.ok(isHeld(tables, duty, this.leases.nowMs));
    assert.throws(() => this.leases.order(this.holder), {
      result: "staleFencingNumber",
      executed: "no",
    });
  },
);

When(
  "a router takes the duty and the answer follows the notice of a restore",
  function (this: World) {
    const { leases } = this;
    const [router] = leases.routers;
    const { tables } = router;
    const { nowMs } = leases;
    const tick = {
      nowMs,
      candidates: [tables.self],
      isLeaving: false,
      createAttempt: () => "late",
    };
    assert.equal(updateLeases(tables, tick)[0]?.type, "read-lease");
    applyLeaseRead(tables, duty, { stored: undefined, nowMs });
    assert.equal(updateLeases(tables, tick)[0]?.type, "write-lease");
    leases.restore(0);
    applyStoreEpoch(tables, leases.storeEpoch);
    applyLeaseWritten(tables, duty, { version: 1, nowMs });
    this.holder = router;
  },
);

Then("that router does not hold the duty", function (this: World) {
  const { tables } = this.holder;
  assert.equal(tables.duties.get(duty)?.lease, undefined);
  const [command] = updateLeases(tables, {
    nowMs: this.leases.nowMs,
    candidates: [tables.self],
    isLeaving: false,
    createAttempt: () => "next",
  });
  assert.equal(command.type, "read-lease");
  this.holder.pending = [command];
});

const eventArbitrary = fc.record({
  kind: fc.constantFrom(
    "pause",
    "outage",
    "restart-sidecar",
    "restart-router",
    "calm",
  ),
  router: fc.nat(4),
  durationMs: fc.integer({ min: 1, max: 40 }).map((units) => units * 1000),
});

/**
 * Applies one event. At each step every router that considers itself the
 * holder issues an order.
 */
function playEvent(
  world: LeaseWorld,
  event: { kind: string; router: number; durationMs: number },
): void {
  const router = world.routers[event.router];
  if (event.kind === "pause") {
    router.pausedUntilMs = world.nowMs + event.durationMs;
  }
  if (event.kind === "restart-sidecar") world.guard = FencingGuard.create();
  if (event.kind === "restart-router") {
    const { self } = router.tables;
    router.tables = createLeaseTables({
      self: { ...self, epoch: self.epoch + 1 },
      leaseMs,
    });
    addDuty(router.tables, duty);
    router.pending = [];
  }
  world.faults.outage = event.kind === "outage";
  const endMs = world.nowMs + event.durationMs;
  while (world.nowMs < endMs) {
    world.advance(stepMs);
    if (!world.guard.isInitialized) world.observe();
    for (const candidate of world.routers) tryOrder(world, candidate);
  }
}

function tryOrder(world: LeaseWorld, router: Router): void {
  const row = router.tables.duties.get(duty);
  if (row === undefined || !isHeldBySelf(router.tables, row)) return;
  try {
    world.order(router);
  } catch (error) {
    const { result } = error as { result: string };
    assert.ok(["staleFencingNumber", "platformUnavailable"].includes(result));
  }
}

Then(
  "no order of an older holder follows one of a newer holder in {int} random runs, seed {int}",
  function (numRuns: number, seed: number) {
    const events = fc.array(eventArbitrary, { minLength: 4, maxLength: 12 });
    fc.assert(
      fc.property(events, fc.integer(), (list, randomSeed) => {
        const world = new LeaseWorld(5, randomSeed);
        Object.assign(world.faults, { lostAnswers: 0.2, staleReads: 0.2 });
        for (const event of list) playEvent(world, event);
        const sorted = [...world.accepted].sort((a, b) => a - b);
        assert.deepEqual(world.accepted, sorted);
        Object.assign(world.faults, {
          outage: false,
          lostAnswers: 0,
          staleReads: 0,
        });
        for (const router of world.routers) router.pausedUntilMs = 0;
        world.advance(40_000);
        assert.equal(world.listHolders().length, 1);
      }),
      { seed, numRuns },
    );
  },
);

const restoreArbitrary = fc.record({
  kind: fc.constantFrom(
    "pause",
    "outage",
    "restart-sidecar",
    "restart-router",
    "restore",
  ),
  router: fc.nat(4),
  durationMs: fc.integer({ min: 1, max: 20 }).map((units) => units * 1000),
  lostCount: fc.nat(3),
});

Then(
  "fencing numbers have one holder in {int} random runs with restores, seed {int}",
  function (numRuns: number, seed: number) {
    const events = fc.array(restoreArbitrary, { minLength: 6, maxLength: 14 });
    fc.assert(
      fc.property(events, fc.integer(), (list, randomSeed) => {
        const world = new LeaseWorld(5, randomSeed);
        Object.assign(world.faults, { lostAnswers: 0.2 });
        for (const event of list) {
          if (event.kind === "restore") world.restore(event.lostCount);
          playEvent(world, event);
        }
        const sorted = [...world.accepted].sort((a, b) => a - b);
        assert.deepEqual(world.accepted, sorted);
        Object.assign(world.faults, { outage: false, lostAnswers: 0 });
        for (const router of world.routers) router.pausedUntilMs = 0;
        world.advance(40_000);
        const [holder, ...others] = world.listHolders();
        assert.equal(others.length, 0);
        assert.equal(
          getFencingEpoch(getNumber(holder)),
          world.storeEpoch,
        );
      }),
      { seed, numRuns },
    );
  },
);

Then(
  "no write and at most {int} reads happen in {int} seconds",
  function (this: World, reads: number, seconds: number) {
    const { reads: before, writes } = this.leases;
    this.leases.advance(seconds * 1000);
    assert.equal(this.leases.writes, writes);
    assert.ok(this.leases.reads - before <= reads);
  },
);

type OrderWorld = { orders: FencedOrders; received: string[] };

Given(
  "a runner that ignores fencing numbers and runs orders slowly",
  function (this: OrderWorld) {
    this.received = [];
    this.orders = FencedOrders.create({
      fetchHighest: () => Promise.resolve(4),
    });
  },
);

When(
  "orders with numbers {int}, {int} and {int} arrive together",
  async function (this: OrderWorld, a: number, b: number, c: number) {
    await Promise.allSettled(
      [a, b, c].map((number) =>
        this.orders.run(number, async () => {
          this.received.push(`begin ${number}`);
          await new Promise((resolve) => setImmediate(resolve));
          this.received.push(`end ${number}`);
        })
      ),
    );
  },
);

Then(
  "the runner gets orders {int} and {int}, one after the other",
  function (this: OrderWorld, first: number, second: number) {
    assert.deepEqual(
      this.received,
      [first, second].flatMap((number) => [`begin ${number}`, `end ${number}`]),
    );
  },
);
