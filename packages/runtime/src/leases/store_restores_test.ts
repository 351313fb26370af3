import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  formatLease,
  getFencingEpoch,
  type LeaseHolder,
} from "@jasminetide/core/leases";
import { AppError } from "@jasminetide/core/results";
import {
  StoreEpoch,
  type StoreRestoredListener,
} from "@jasminetide/core/store";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type { PeerClient } from "../control/mod.ts";
import { createSilentLogger } from "../logging/mod.ts";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
  WriteCondition,
} from "../platform/mod.ts";
import { fetchFencingNumber, LeaseManager } from "./mod.ts";

const duty = "placement-region-1";

/** One object of a store, with the client's rules of epochs. */
class RestoredPlatform {
  readonly #epoch = StoreEpoch.create();
  stored: StoredObject | undefined;
  /** Epoch that the next answers state. */
  statedEpoch = 0;

  get epoch(): number {
    return this.#epoch.current;
  }

  get client(): PlatformClient {
    return this as unknown as PlatformClient;
  }

  subscribeRestored(listener: StoreRestoredListener): Disposable {
    return this.#epoch.subscribe(listener);
  }

  /** Answers a call that has nothing to do with leases. */
  answer(): void {
    this.#epoch.observe(this.statedEpoch);
  }

  get(): Promise<StoredObject | undefined> {
    this.answer();
    if (this.stored === undefined) return Promise.resolve(undefined);
    const { position, value } = this.stored;
    const { revision } = position;
    const epoch = this.statedEpoch;
    return Promise.resolve({ position: { epoch, revision }, value });
  }

  put(
    _object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ) {
    this.answer();
    const { condition, value } = options;
    const revision = this.stored?.position.revision ?? 0;
    const isMet = condition === "absent"
      ? this.stored === undefined
      : condition.position.revision === revision &&
        condition.position.epoch === this.statedEpoch;
    if (!isMet) throw AppError.create("versionConflict", "Other version");
    const position = { epoch: this.statedEpoch, revision: revision + 1 };
    this.stored = { position, value };
    return Promise.resolve(position);
  }
}

type World = {
  restored: RestoredPlatform;
  leaseTimers: VirtualTimerService;
  manager: LeaseManager;
};

async function advance(world: World, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
    world.leaseTimers.advance(500);
    for (let turn = 0; turn < 4; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

function createHolder(name: string): LeaseHolder {
  return { name, epoch: 1, controlAddress: `127.0.0.1:${name.length}` };
}

function startRouter(world: World): void {
  world.leaseTimers = VirtualTimerService.create(1_000_000);
  const self = createHolder("router-1");
  const isDutyHeld = { query: () => Promise.resolve(true) };
  world.manager = LeaseManager.create({
    self,
    duties: [duty],
    platform: world.restored.client,
    timers: world.leaseTimers,
    logger: createSilentLogger(),
    getPeer: () => ({ isDutyHeld }) as unknown as PeerClient,
    listCandidates: () => [self],
  });
}

Given("a router that holds a duty", async function (this: World) {
  this.restored = new RestoredPlatform();
  startRouter(this);
  await advance(this, 3000);
  assert.equal(this.manager.getFencingNumber(duty), 1);
});

When("another call states epoch {int}", function (this: World, epoch: number) {
  this.restored.statedEpoch = epoch;
  this.restored.answer();
});

Then("the router does not hold the duty", function (this: World) {
  assert.equal(this.manager.isHeld(duty), false);
  assert.equal(this.manager.getFencingNumber(duty), undefined);
});

When(
  "{int} seconds pass for the router",
  async function (this: World, seconds: number) {
    await advance(this, seconds * 1000);
  },
);

Then(
  "the router holds the duty under a number of epoch {int}",
  function (this: World, epoch: number) {
    using manager = this.manager;
    const fencingNumber = manager.getFencingNumber(duty);
    assert.ok(fencingNumber !== undefined);
    assert.equal(getFencingEpoch(fencingNumber), epoch);
  },
);

Given(
  "a lease of another router in a store at epoch {int}",
  function (this: World, epoch: number) {
    this.restored = new RestoredPlatform();
    this.restored.statedEpoch = epoch;
    const holder = createHolder("router-22");
    this.restored.stored = {
      position: { epoch, revision: 7 },
      value: formatLease({ holder, fencingNumber: 3, attempt: "a" }),
    };
  },
);

Given("a router that starts", function (this: World) {
  startRouter(this);
});

async function checkFetched(world: World, epoch: number): Promise<void> {
  const number = await fetchFencingNumber(world.restored.client, duty);
  assert.equal(getFencingEpoch(number), epoch);
}

Then(
  "the number that a sidecar fetches is of epoch {int}",
  async function (this: World, epoch: number) {
    await checkFetched(this, epoch);
  },
);

Then(
  "it is of epoch {int} where the store has lost the lease",
  async function (this: World, epoch: number) {
    this.restored.stored = undefined;
    await checkFetched(this, epoch);
  },
);
