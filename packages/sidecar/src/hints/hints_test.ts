import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { settingsSchema } from "@jasminetide/core/configuration";
import { rankRunners } from "@jasminetide/core/routing";
import type { RunnerRow } from "@jasminetide/core/tables";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { ChatLocator } from "./chat_locator.ts";

type World = {
  rows: RunnerRow[];
  order: RunnerRow[];
  locators: Map<string, ChatLocator>;
};

const turn = { chatKey: "2a", pool: "assistant", costTokens: 300 };
const loadTokens = 10_000;

function createRow(id: string): RunnerRow {
  return {
    id,
    host: id,
    failureDomain: "a",
    region: "r",
    dataAddress: "",
    controlAddress: id,
    kind: "engine",
    pools: [turn.pool],
    capacity: 1,
    loadTokens,
    state: "active",
    epoch: 1,
    sequence: 1,
    configurationVersion: 1,
    observedAtMs: 0,
  };
}

function getLocator(world: World, rank: number): ChatLocator {
  const locator = world.locators.get(world.order[rank].id);
  assert.ok(locator);
  return locator;
}

function startSidecar(world: World, id: string): void {
  const locator = ChatLocator.create({
    self: id,
    timers: VirtualTimerService.create(),
    source: {
      getCandidates: () => world.rows,
      getPoolMean: () => ({ tokens: loadTokens }),
    },
    getLoadSettings: () => settingsSchema.parse({}).load,
    sendClaims: (home, claims) =>
      claims.forEach((claim) =>
        world.locators.get(home.id)?.recordClaim(claim)
      ),
  });
  world.locators.set(id, locator);
}

Given(
  "{int} sidecars of one pool that know each other",
  function (this: World, count: number) {
    this.rows = Array.from(
      { length: count },
      (_, index) => createRow(`assistant-${index}`),
    );
    this.order = rankRunners(BigInt(`0x${turn.chatKey}`), this.rows);
    this.locators = new Map();
    for (const { id } of this.rows) startSidecar(this, id);
  },
);

When("a turn runs at rank {int}", function (this: World, rank: number) {
  getLocator(this, rank).recordHeld(turn);
});

When(
  "rank {int} comes to carry {int} tokens",
  function (this: World, rank: number, tokens: number) {
    this.order[rank].loadTokens = tokens;
  },
);

When("rank {int} leaves the pool", function (this: World, rank: number) {
  this.rows = this.rows.filter((row) => row !== this.order[rank]);
});

When(
  "the home leaves and sees which runners are left",
  function (this: World) {
    const home = this.order[0];
    this.rows = this.rows.filter((row) => row !== home);
    getLocator(this, 0).announce(turn.pool);
  },
);

Then(
  /^(?:the home|rank (\d+)) names rank (\d+) for the next turn$/,
  function (this: World, asked: string | null, rank: string) {
    const found = getLocator(this, Number(asked ?? "0")).findHolder(turn);
    assert.equal(found, this.order[Number(rank)].id);
  },
);

Then(
  /^(?:the home|rank (\d+)) names no other runner for the next turn$/,
  function (this: World, rank: string | null) {
    const locator = getLocator(this, Number(rank ?? "0"));
    assert.equal(locator.findHolder(turn), undefined);
  },
);

When("the home restarts", function (this: World) {
  startSidecar(this, this.order[0].id);
  this.order[0].epoch += 1;
});

When("all sidecars see which runners there are", function (this: World) {
  for (const locator of this.locators.values()) locator.announce(turn.pool);
});
