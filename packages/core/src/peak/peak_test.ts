import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { AppError } from "../results/mod.ts";
import { VirtualTimerService } from "../timers/mod.ts";
import { MinuteMeter, minuteMs, PeakGate, PeakHold } from "./mod.ts";

type World = {
  gate: PeakGate;
  abort: AbortController;
  outcome: unknown;
};

const deadlineMs = 20 * minuteMs;

function createHold(holdBack: boolean): PeakHold {
  return PeakHold.create({
    getSettings: () => ({ holdBack, maximumHoldMs: 600_000 }),
    meter: MinuteMeter.create(),
  });
}

Then(
  "with seed {int} every held request is released in time",
  (seed: number) => {
    const request = fc.record({
      atMs: fc.integer({ min: 0, max: 600_000 }),
      costTokens: fc.integer({ min: 1, max: 50_000 }),
      waitMs: fc.integer({ min: 1000, max: 1_800_000 }),
      regularTokens: fc.integer({ min: 0, max: 200_000 }),
    });
    const property = fc.property(fc.array(request), (requests) => {
      const hold = createHold(true);
      const sorted = requests.toSorted((left, right) => left.atMs - right.atMs);
      for (const [index, each] of sorted.entries()) {
        const { atMs, costTokens, waitMs, regularTokens } = each;
        hold.meter.record(regularTokens, { atMs, isDeferrable: false });
        const deadlineAtMs = atMs + waitMs;
        const durationMs = waitMs / 8;
        const request = { id: `${index}`, costTokens, arrivedAtMs: atMs };
        hold.add({ ...request, deadlineAtMs, durationMs });
      }
      let released = 0;
      let dueMs = hold.getNextDueMs();
      while (dueMs !== undefined) {
        for (const { deadlineAtMs, durationMs } of hold.release(dueMs)) {
          assert.ok(dueMs + durationMs <= deadlineAtMs);
          released += 1;
        }
        dueMs = hold.getNextDueMs();
      }
      assert.equal(released, requests.length);
    });
    fc.assert(property, { seed });
  },
);

/** Creates a gate with a full current minute. */
function createGate(world: World, holdBack: boolean): void {
  const timers = VirtualTimerService.create();
  const hold = createHold(holdBack);
  hold.meter.record(1_000_000, { atMs: 0, isDeferrable: false });
  world.gate = PeakGate.create({ hold, timers, getMaximumHeld: () => 1 });
  world.abort = new AbortController();
}

async function offerHeld(world: World, id = "held"): Promise<void> {
  world.gate.wait({
    id,
    costTokens: 1000,
    arrivedAtMs: 0,
    deadlineAtMs: deadlineMs,
    durationMs: 1000,
  }, world.abort.signal).then(
    () => world.outcome = "released",
    (error: unknown) => world.outcome = error,
  );
  await setImmediate();
}

Given("a gate that does not hold back", function (this: World) {
  createGate(this, false);
});

Given(
  "a gate at its peak with a held request",
  async function (this: World) {
    createGate(this, true);
    await offerHeld(this);
    assert.equal(this.outcome, undefined);
  },
);

When(
  "a deferrable request arrives at the peak",
  async function (this: World) {
    await offerHeld(this);
  },
);

When(
  "another deferrable request arrives",
  async function (this: World) {
    await offerHeld(this, "other");
  },
);

Then(
  "the new request is refused as not run and the first stays held",
  function (this: World) {
    assert.ok(this.outcome instanceof AppError);
    assert.deepEqual(
      [this.outcome.result, this.outcome.executed],
      ["overloaded", "no"],
    );
    assert.equal(this.gate.hold.size, 1);
  },
);

When(
  "the caller of the held request disconnects",
  async function (this: World) {
    this.abort.abort();
    await setImmediate();
  },
);

When("the gate refuses all held requests", async function (this: World) {
  this.gate.refuseAll();
  await setImmediate();
});

Then("it is released at once", function (this: World) {
  assert.equal(this.outcome, "released");
});

Then(
  "the held request is refused at once as not run",
  function (this: World) {
    assert.ok(this.outcome instanceof AppError);
    assert.equal(this.outcome.executed, "no");
    assert.equal(this.gate.hold.size, 0);
  },
);
