import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemoryBudget, type MemoryShare } from "./mod.ts";

type World = {
  budget: MemoryBudget;
  shares: Map<string, MemoryShare>;
  evicted: string[];
};

Given(
  "a memory budget of {int} bytes",
  function (this: World, limitBytes: number) {
    this.budget = MemoryBudget.create({ limitBytes });
    this.shares = new Map();
    this.evicted = [];
  },
);

Given(
  "holders {string}, {string} and {string} that use {int}, {int} and {int} bytes",
  function (
    this: World,
    first: string,
    second: string,
    third: string,
    firstBytes: number,
    secondBytes: number,
    thirdBytes: number,
  ) {
    const sizes = [firstBytes, secondBytes, thirdBytes];
    for (const [index, name] of [first, second, third].entries()) {
      const share = this.budget.hold(() => this.evicted.push(name));
      share.set(sizes[index]);
      this.shares.set(name, share);
    }
  },
);

Given("{string} is retained", function (this: World, name: string) {
  this.shares.get(name)?.retain();
});

When("{string} uses {int} bytes", function (
  this: World,
  name: string,
  bytes: number,
) {
  this.shares.get(name)?.set(bytes);
});

When("{string} ends", function (this: World, name: string) {
  this.shares.get(name)?.[Symbol.dispose]();
});

Then("{string} is evicted", function (this: World, name: string) {
  assert.deepEqual(this.evicted, [name]);
});

Then("no holder is evicted", function (this: World) {
  assert.deepEqual(this.evicted, []);
});

Then("the holders use {int} bytes", function (this: World, bytes: number) {
  assert.equal(this.budget.usedBytes, bytes);
});
