import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ReadScheduler } from "./mod.ts";

type World = {
  scheduler: ReadScheduler;
  /** Turns that the scheduler awaits. */
  awaitedTurns: (() => void)[];
  /** Work in each turn. */
  turnCosts: number[];
  readCounts: number[];
  doneInTurns: number[][];
};

Given(
  "a scheduler that does work of {int} a turn",
  function (this: World, turnCost: number) {
    this.awaitedTurns = [];
    this.scheduler = ReadScheduler.create({
      turnCost,
      onNextTurn: (handler) => this.awaitedTurns.push(handler),
    });
  },
);

function beginTurn({ awaitedTurns }: World): void {
  for (const handler of awaitedTurns.splice(0)) handler();
}

const turnCount = 100;

When(
  "{int} peers send without end, each read costing {int}",
  function (this: World, peers: number, cost: number) {
    const { scheduler } = this;
    this.turnCosts = [];
    this.readCounts = Array.from({ length: peers }, () => 0);
    const isDeferred = this.readCounts.map(() => false);
    let turnCost = 0;
    const read = (peer: number) => {
      scheduler.recordWork(cost);
      turnCost += cost;
      this.readCounts[peer] += 1;
      isDeferred[peer] = false;
    };
    for (let turn = 0; turn < turnCount; turn++) {
      // Each peer has sent more by the time that sockets are read.
      for (let peer = 0; peer < peers; peer++) {
        if (isDeferred[peer]) continue;
        if (scheduler.hasCapacity) {
          read(peer);
          continue;
        }
        isDeferred[peer] = true;
        scheduler.defer(() => read(peer));
      }
      this.turnCosts.push(turnCost);
      turnCost = 0;
      beginTurn(this);
    }
  },
);

Then(
  "no turn does work of more than {int}",
  function (this: World, limit: number) {
    assert.ok(Math.max(...this.turnCosts) <= limit, `${this.turnCosts}`);
  },
);

Then(
  "all peers have as many reads, or one more, after {int} turns",
  function (this: World, count: number) {
    assert.equal(this.turnCosts.length, count);
    const [least, most] = [
      Math.min(...this.readCounts),
      Math.max(...this.readCounts),
    ];
    assert.ok(least > 0 && most <= least + 1, `${this.readCounts}`);
  },
);

When(
  "work of {int}, {int} and {int} is put off",
  function (this: World, first: number, second: number, third: number) {
    const done: number[] = [];
    this.doneInTurns = [];
    for (const [index, cost] of [first, second, third].entries()) {
      this.scheduler.defer(() => {
        this.scheduler.recordWork(cost);
        done.push(index + 1);
      });
    }
    while (this.awaitedTurns.length > 0) {
      beginTurn(this);
      const inTurn = done.splice(0);
      if (inTurn.length > 0) this.doneInTurns.push(inTurn);
    }
  },
);

Then(
  "the turns do {string}, {string}",
  function (this: World, first: string, second: string) {
    assert.deepEqual(
      this.doneInTurns.map((each) => each.join(" ")),
      [first, second],
    );
  },
);

When(
  "work that fails is put off before other work",
  function (this: World) {
    this.readCounts = [0];
    const fail = () => {
      throw new Error("Failed on purpose");
    };
    this.scheduler.defer(fail);
    const count = () => void (this.readCounts[0] += 1);
    this.scheduler.defer(count);
    assert.throws(() => beginTurn(this));
  },
);

Then("the other work is done in the next turn", function (this: World) {
  beginTurn(this);
  assert.deepEqual(this.readCounts, [1]);
});
