import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { WriteLimiter, type WritePurpose } from "./write_limiter.ts";

type World = {
  limiter: WriteLimiter;
  started: WritePurpose[];
  writes: Promise<void>[];
  startedInFirstInterval: number;
};

function add(world: World, purpose: WritePurpose): void {
  const write = () => {
    world.started.push(purpose);
    return Promise.resolve();
  };
  world.writes.push(world.limiter.run(write, purpose));
}

Given(
  "a limiter of {int} writes a second whose first interval is used up",
  async function (this: World, writesPerSecond: number) {
    this.limiter = WriteLimiter.create({ writesPerSecond });
    this.started = [];
    this.writes = [];
    const perInterval = writesPerSecond / 10;
    for (let count = 0; count < perInterval; count++) add(this, "other");
    await Promise.all(this.writes);
    this.started = [];
  },
);

When(
  "{int} other writes and then {int} write of a money call wait",
  async function (this: World, others: number, money: number) {
    for (let count = 0; count < others; count++) add(this, "other");
    for (let count = 0; count < money; count++) add(this, "money");
    this.startedInFirstInterval = this.started.length;
    await Promise.all(this.writes);
  },
);

Then(
  "the write of the money call runs before the other writes",
  function (this: World) {
    assert.equal(this.started[0], "money");
    assert.equal(this.started.length, 6);
  },
);

Then(
  "no waiting write has started in the first interval",
  function (this: World) {
    assert.equal(this.startedInFirstInterval, 0);
  },
);
