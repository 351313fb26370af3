import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { ListeningServer } from "@jasminetide/runtime/http";
import { startService } from "../programs.ts";

type Effects = {
  count: number;
  byKey: { [key: string]: number };
  /** Number of remaining faults by name. */
  faults: { [name: string]: number };
};

type World = { service: ListeningServer; firstRefund: string };

const key = "k1";

function getServiceUrl(world: World, path: string): string {
  return `http://${world.service.address}${path}`;
}

async function refund(world: World, signal?: AbortSignal): Promise<number> {
  const response = await fetch(
    getServiceUrl(world, "/deposit-ledger/refunds"),
    {
      method: "POST",
      headers: { "idempotency-key": key },
      body: JSON.stringify({ account: "a1", amount: 100 }),
      ...(signal === undefined ? {} : { signal }),
    },
  );
  return response.status;
}

async function getEffects(world: World): Promise<Effects> {
  const response = await fetch(getServiceUrl(world, "/effects"));
  return await response.json() as Effects;
}

Given("a service stand-in", async function (this: World) {
  this.service = await startService({
    address: "127.0.0.1:0",
    service: "deposit-ledger",
  });
});

After(async function (this: World) {
  await this.service?.[Symbol.asyncDispose]();
});

When(
  "the service has the fault {string} once and receives two refunds",
  async function (this: World, fault: string) {
    await fetch(getServiceUrl(this, "/faults"), {
      method: "PUT",
      body: JSON.stringify({ [fault]: 1 }),
    });
    const abort = new AbortController();
    let outcome = "silence";
    const first = refund(this, abort.signal).then(
      () => outcome = "answer",
      () => outcome = abort.signal.aborted ? outcome : "no answer",
    );
    // The second refund must not consume the fault of the first.
    while ((await getEffects(this)).faults[fault] > 0);
    if (fault.startsWith("failures")) await first;
    assert.equal(await refund(this), 201);
    abort.abort();
    await first;
    this.firstRefund = outcome;
  },
);

Then(
  /^the first refund has (.+) and (\d) effects are counted$/,
  async function (this: World, outcome: string, count: string) {
    assert.equal(this.firstRefund, outcome);
    assert.equal((await getEffects(this)).count, Number(count));
  },
);

When("two refunds with the same key are sent", async function (this: World) {
  assert.deepEqual([await refund(this), await refund(this)], [201, 201]);
});

Then(
  "{int} effects are counted for that key",
  async function (this: World, count: number) {
    assert.deepEqual((await getEffects(this)).byKey, { [key]: count });
  },
);
