import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { settingsSchema } from "@jasminetide/core/configuration";
import type { RunnerRow } from "@jasminetide/core/tables";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { ChatChoice } from "./chat_choice.ts";
import { PoolViews } from "./pool_views.ts";

type World = {
  timers: VirtualTimerService;
  rows: RunnerRow[];
  views: PoolViews;
  chosen: string[];
};

const startMs = 10_000_000;
const epochsPerMs = 1024;
const rampUpMs = 2000;
const settings = settingsSchema.parse({}).load;

function createRow(id: string, loadTokens: number): RunnerRow {
  return {
    id,
    host: id,
    failureDomain: "a",
    region: "r",
    dataAddress: "",
    controlAddress: "",
    kind: "engine",
    pools: ["assistant"],
    capacity: 1,
    loadTokens,
    state: "active",
    epoch: epochsPerMs,
    sequence: 1,
    configurationVersion: 1,
    observedAtMs: startMs,
  };
}

function getPool(world: World) {
  const nowMs = world.timers.nowMs();
  return world.views.get("assistant", { nowMs, rampUpMs });
}

function createChoice(world: World, costTokens: number): ChatChoice {
  const { timers } = world;
  const pool = getPool(world);
  return ChatChoice.create({ key: 7n, costTokens, pool, settings, timers });
}

function place(world: World, tried = new Set<string>()): string | undefined {
  using choice = createChoice(world, 500);
  return choice.choose(tried);
}

Given(
  "a router with {int} known runners, each with a load of {int} tokens",
  function (this: World, count: number, loadTokens: number) {
    this.timers = VirtualTimerService.create(startMs);
    this.rows = Array.from(
      { length: count },
      (_, index) => createRow(`assistant-${index}`, loadTokens),
    );
    this.views = PoolViews.create({
      source: { getCandidates: () => this.rows },
    });
  },
);

When(
  "this router places {int} turns of {int} tokens of one chat",
  function (this: World, count: number, costTokens: number) {
    this.chosen = Array.from(
      { length: count },
      () => createChoice(this, costTokens).choose(new Set()) ?? "",
    );
  },
);

When(
  "this router places {int} successive turns of {int} tokens of one chat",
  function (this: World, count: number, _costTokens: number) {
    this.chosen = Array.from({ length: count }, () => place(this) ?? "");
  },
);

Then(
  /^they are spread over (more than )?(\d+) runners?$/,
  function (this: World, moreThan: string | null, count: string) {
    const { size } = new Set(this.chosen);
    if (moreThan === null) assert.equal(size, Number(count));
    else assert.ok(size > Number(count));
  },
);

Then(
  "each runner has at most {int} of them",
  function (this: World, limit: number) {
    for (const { id } of this.rows) {
      const count = this.chosen.filter((chosen) => chosen === id).length;
      assert.ok(count <= limit, `${id} has ${count}`);
    }
  },
);

When("all runners but one have refused a turn", function (this: World) {
  const tried = new Set(this.rows.slice(1).map((row) => row.id));
  this.chosen = [place(this, tried) ?? ""];
});

Then("the turn is placed on the remaining runner", function (this: World) {
  assert.deepEqual(this.chosen, [this.rows[0].id]);
});

When("the first runner chosen for a turn leaves", function (this: World) {
  this.chosen = [place(this) ?? ""];
  this.rows = this.rows.filter((row) => row.id !== this.chosen[0]);
  this.timers.advance(1000);
});

Then("the turn is placed on another runner", function (this: World) {
  const next = place(this);
  assert.ok(this.rows.some((row) => row.id === next));
});

When("a runner restarts with a new epoch", function (this: World) {
  getPool(this);
  this.timers.advance(1000);
  this.rows[0] = {
    ...this.rows[0],
    epoch: this.timers.nowMs() * epochsPerMs,
  };
});

Then(
  "its available capacity is below its full capacity",
  function (this: World) {
    const pool = getPool(this);
    const view = pool.get(this.rows[0].id);
    assert.ok(view);
    assert.ok(pool.getCapacity(view, this.timers.nowMs()) < view.capacity);
  },
);
