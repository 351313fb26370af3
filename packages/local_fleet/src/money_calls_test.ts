import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { RealTimerService } from "@jasminetide/runtime/clock";
import type { StoreCopy } from "@jasminetide/stand_in/object_api";
import { PlatformClient } from "@jasminetide/runtime/platform";
import {
  listUnknown,
  resolveEntry,
  showEntry,
  type UnknownEntry,
} from "@jasminetide/operator/ledger";
import type { Sidecar } from "@jasminetide/sidecar";
import { v7 as createKey } from "uuid";
import type { LocalFleet } from "./local_fleet.ts";

type Refund = { account: string; amount: number; key: string };
type RefundAnswer = { status: number; body: string; headers: Headers };
type World = {
  storeCopy: StoreCopy;
  fleet: LocalFleet;
  keys: Map<number, string>;
  refund: Refund;
  answers: RefundAnswer[];
  owner: Sidecar;
};

const timers = RealTimerService.create();

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    timers.schedule(durationMs, () => resolve());
  });
}

async function sendRefund(world: World, router: number): Promise<RefundAnswer> {
  const { account, amount, key } = world.refund;
  const { callerAddress } = world.fleet.routers[router - 1];
  const response = await fetch(
    `http://${callerAddress}/deposit-ledger/refunds`,
    {
      method: "POST",
      headers: { authorization: "Bearer local-key", "idempotency-key": key },
      body: JSON.stringify({ account, amount }),
    },
  );
  const { status, headers } = response;
  const answer = { status, headers, body: await response.text() };
  world.answers ??= [];
  world.answers.push(answer);
  return answer;
}

function getKey(world: World, number: number): string {
  world.keys ??= new Map();
  const key = world.keys.get(number) ?? createKey();
  world.keys.set(number, key);
  return key;
}

When(
  "a refund of {int} to {string} with key {int} is sent through router {int}",
  async function (
    this: World,
    amount: number,
    account: string,
    key: number,
    router: number,
  ) {
    this.refund = { account, amount, key: getKey(this, key) };
    await sendRefund(this, router);
  },
);

When(
  "the same refund is sent through router {int}",
  async function (this: World, router: number) {
    await sendRefund(this, router);
  },
);

When(
  "a refund of {int} to {string} with key {int} is sent {int} times in parallel",
  async function (
    this: World,
    amount: number,
    account: string,
    key: number,
    count: number,
  ) {
    this.refund = { account, amount, key: getKey(this, key) };
    const attempts = Array.from(
      { length: count },
      (_, index) => sendRefund(this, 1 + index % 2),
    );
    await Promise.all(attempts);
  },
);

/** Finds the sidecars that own the shard of the only refund. */
function findOwners(world: World): Sidecar[] {
  return world.fleet.sidecars.filter((sidecar) =>
    sidecar.ledgerShards.some((shard) =>
      shard.role === "owner" && shard.entries > 0
    )
  );
}

When(
  "the runner that answered the refund is stopped",
  async function (this: World) {
    const [owner, ...others] = findOwners(this);
    assert.equal(others.length, 0);
    await owner[Symbol.asyncDispose]();
  },
);

When(
  "the platform lists the host of that refund's owner as leaving",
  function (this: World) {
    [this.owner] = findOwners(this);
    this.fleet.hosts.drain(this.owner.host);
  },
);

When(
  "the refund is retried until another runner answers it",
  { timeout: 20_000 },
  async function (this: World) {
    do {
      while ((await sendRefund(this, 2)).status !== 201) await wait(50);
    } while (findOwners(this)[0] === this.owner);
  },
);

Then(
  "the last answer to the refund equals the first one",
  function (this: World) {
    assert.equal(this.answers.at(-1)?.body, this.answers[0].body);
  },
);

Given(
  "every shard of the deposit ledger has an owner",
  async function (this: World) {
    const countOwned = () =>
      this.fleet.sidecars.flatMap((sidecar) => sidecar.ledgerShards)
        .filter((shard) => shard.role === "owner").length;
    while (countOwned() < 16) await wait(20);
  },
);

async function loadUnknown(world: World): Promise<UnknownEntry[]> {
  await using platform = createPlatform(world);
  return await listUnknown({ platform, service: "deposit-ledger" });
}

function createPlatform(world: World): PlatformClient {
  return PlatformClient.create({ address: world.fleet.platformAddress });
}

Given(
  "the answer of the next refund is lost after its effect",
  function (this: World) {
    this.fleet.deposits.lostAnswers = 1;
  },
);

Then(
  "operators list {int} unknown outcome of key {int}",
  async function (this: World, count: number, key: number) {
    let listed = await loadUnknown(this);
    while (listed.length < count) {
      await wait(20);
      listed = await loadUnknown(this);
    }
    const keys = listed.map((entry) => entry.key);
    assert.deepEqual(keys, [getKey(this, key)]);
  },
);

Then("operators list 0 unknown outcomes", async function (this: World) {
  assert.deepEqual(await loadUnknown(this), []);
});

When(
  "operators resolve key {int} as {string} because {string}",
  async function (
    this: World,
    key: number,
    executed: "yes" | "no",
    reason: string,
  ) {
    await using platform = createPlatform(this);
    const location = { platform, service: "deposit-ledger" };
    const entryName = { workspace: "local", key: getKey(this, key) };
    await resolveEntry(location, {
      ...entryName,
      executed,
      reason,
      resolvedBy: "tester",
      nowMs: timers.nowMs(),
    });
    const shown = await showEntry(location, entryName);
    assert.deepEqual(
      [shown.state, shown.resolution?.reason],
      ["unknown", reason],
    );
  },
);

Then("the answer names the reason {string}", function (this: World, reason) {
  const problem = JSON.parse(this.answers.at(-1)?.body ?? "") as {
    detail: string;
  };
  assert.equal(problem.detail, reason);
});

When("the platform of the fleet goes down", function (this: World) {
  this.fleet.objects.faults.outage = true;
});

When("the platform of the fleet is available again", function (this: World) {
  this.fleet.objects.faults.outage = false;
});

When(
  "the refund is retried until it is answered",
  async function (this: World) {
    while ((await sendRefund(this, 2)).status !== 201) await wait(50);
  },
);

Then(
  "all answers to the refund are the same, with status {int}",
  function (this: World, status: number) {
    const [first] = this.answers;
    for (const answer of this.answers) {
      assert.deepEqual([answer.status, answer.body], [status, first.body]);
    }
  },
);

Then(
  "key {int} has taken effect {int} time(s)",
  function (this: World, key: number, count: number) {
    assert.equal(this.fleet.deposits.effects.get(getKey(this, key)), count);
  },
);

Then(
  "the refund is refused with status {int}, code {int} and executed {string}",
  function (this: World, status: number, code: number, executed: string) {
    const answer = this.answers.at(-1);
    const problem = JSON.parse(answer?.body ?? "") as {
      code: number;
      executed: string;
    };
    assert.deepEqual(
      [answer?.status, problem.code, problem.executed],
      [status, code, executed],
    );
  },
);

Then("the answer says when to retry the refund", function (this: World) {
  assert.ok(Number(this.answers.at(-1)?.headers.get("retry-after")) > 0);
});

Given("a copy of the platform's store", function (this: World) {
  this.storeCopy = this.fleet.objects.store.copy();
});

When("the platform's store is restored from the copy", function (this: World) {
  this.fleet.objects.store.restore(this.storeCopy);
});
