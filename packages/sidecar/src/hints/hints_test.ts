import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { settingsSchema } from "@jasminetide/core/configuration";
import { rankRunners } from "@jasminetide/core/routing";
import type { RunnerRow } from "@jasminetide/core/tables";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { ChatLocator } from "./chat_locator.ts";

type World = {
  rows: RunnerRow[];
  /** All runners at the start, in the order of their rank. */
  ranked: RunnerRow[];
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
  const locator = world.locators.get(world.ranked[rank].id);
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
  "{int} sidecars of the same pool",
  function (this: World, count: number) {
    this.rows = Array.from(
      { length: count },
      (_, index) => createRow(`assistant-${index}`),
    );
    this.ranked = rankRunners(BigInt(`0x${turn.chatKey}`), this.rows);
    this.locators = new Map();
    for (const { id } of this.rows) startSidecar(this, id);
  },
);

When("a turn runs at rank {int}", function (this: World, rank: number) {
  getLocator(this, rank).recordTurn(turn);
});

When(
  "the load of rank {int} rises to {int} tokens",
  function (this: World, rank: number, tokens: number) {
    this.ranked[rank].loadTokens = tokens;
  },
);

When("rank {int} leaves the pool", function (this: World, rank: number) {
  this.rows = this.rows.filter((row) => row !== this.ranked[rank]);
});

When(
  "the home leaves and processes the changed list of runners",
  function (this: World) {
    const home = this.ranked[0];
    this.rows = this.rows.filter((row) => row !== home);
    getLocator(this, 0).announce(turn.pool);
  },
);

Then(
  /^(?:the home|rank (\d+)) redirects the next turn to rank (\d+)$/,
  function (this: World, source: string | null, target: string) {
    const found = getLocator(this, Number(source ?? "0")).findHolder(turn);
    assert.equal(found, this.ranked[Number(target)].id);
  },
);

Then(
  /^(?:the home|rank (\d+)) does not redirect the next turn$/,
  function (this: World, rank: string | null) {
    const locator = getLocator(this, Number(rank ?? "0"));
    assert.equal(locator.findHolder(turn), undefined);
  },
);

When("the home restarts", function (this: World) {
  startSidecar(this, this.ranked[0].id);
  this.ranked[0].epoch += 1;
});

When(
  "all sidecars process the current list of runners",
  function (this: World) {
    for (const locator of this.locators.values()) locator.announce(turn.pool);
  },
);
