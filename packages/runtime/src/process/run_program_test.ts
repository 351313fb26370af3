import assert from "node:assert/strict";
import process from "node:process";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import { createSilentLogger } from "../logging/mod.ts";
import { runProgram } from "./run_program.ts";

type World = {
  startProgram: () => void;
  finishRequests: () => void;
  stops: number;
  programEnded: Promise<void>;
  hasEnded: boolean;
};

function runControlledProgram(world: World): void {
  world.stops = 0;
  world.hasEnded = false;
  const started = new Promise<void>((resolve) => world.startProgram = resolve);
  const finished = new Promise<void>((resolve) =>
    world.finishRequests = resolve
  );
  const start = async () => {
    await started;
    return {
      [Symbol.asyncDispose]: () => {
        world.stops += 1;
        return finished;
      },
    };
  };
  world.programEnded = runProgram(start, createSilentLogger())
    .then(() => void (world.hasEnded = true));
}

/**
 * Emits a signal. Without a listener a real one would end the process, so this
 * fails if there is none.
 */
async function sendSignal(signal: NodeJS.Signals): Promise<void> {
  assert.ok(
    process.listenerCount(signal) > 0,
    `${signal} has no listener and would end the process`,
  );
  process.emit(signal, signal);
  await setImmediate();
}

Given(
  "a program with requests in flight",
  async function (this: World) {
    runControlledProgram(this);
    this.startProgram();
    await setImmediate();
  },
);

Given("a program that is starting", function (this: World) {
  runControlledProgram(this);
});

When("it receives SIGTERM, SIGTERM and SIGINT", async function () {
  await sendSignal("SIGTERM");
  await sendSignal("SIGTERM");
  await sendSignal("SIGINT");
});

When("it receives SIGHUP and SIGTERM", async function () {
  await sendSignal("SIGHUP");
  await sendSignal("SIGTERM");
});

Then(
  "it runs until its requests are finished, and is stopped once",
  async function (this: World) {
    assert.equal(this.hasEnded, false);
    this.finishRequests();
    await this.programEnded;
    assert.equal(this.stops, 1);
  },
);

Then("it is stopped as soon as it has started", async function (this: World) {
  assert.equal(this.stops, 0);
  this.startProgram();
  await setImmediate();
  assert.equal(this.stops, 1);
  this.finishRequests();
  await this.programEnded;
});
