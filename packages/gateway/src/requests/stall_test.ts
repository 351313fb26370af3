import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  formatStreamEnd,
  formatStreamStart,
  RawCaller,
  refuseAsNotRun,
  type Script,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
} from "../test_support/mod.ts";

type World = {
  stalling: TestGateway;
  stallRunner: ScriptedRunner;
  secondRunner?: ScriptedRunner;
  otherGateway?: TestGateway;
  stallCallers: RawCaller[];
  /** Delays of the gateway's timers that have fired. */
  firedDelaysMs: number[];
};

const timers = RealTimerService.create();

const answerWhole: Script = ({ attemptId, socket }) =>
  socket.write(formatStreamStart(attemptId, [1]) + formatStreamEnd([2]));

Given(
  "a gateway with one runner, and {int} callers that have connected",
  async function (this: World, count: number) {
    this.firedDelaysMs = [];
    this.stalling = await startTestGateway({
      timers: recordFired(this.firedDelaysMs),
    });
    const { declarations, gateway } = this.stalling;
    this.stallRunner = await ScriptedRunner.create(answerWhole);
    declarations.put("main", createDeclaration(1));
    await listRunners(this.stalling, { ready: [this.stallRunner] });
    while (!gateway.isReady) await wait(timers, 1);
    this.stallCallers = await Promise.all(
      Array.from(
        { length: count },
        () => RawCaller.create(gateway.callerAddress),
      ),
    );
    // The gateway has accepted the connections.
    await wait(timers, 50);
  },
);

After(async function (this: World) {
  if (this.stalling === undefined) return;
  for (const caller of this.stallCallers) caller[Symbol.dispose]();
  await this.stallRunner[Symbol.asyncDispose]();
  await this.secondRunner?.[Symbol.asyncDispose]();
  await this.otherGateway?.gateway[Symbol.asyncDispose]();
  await this.stalling.gateway[Symbol.asyncDispose]();
});

Given(
  "the gateway has learned from another one what it missed",
  async function (this: World) {
    this.otherGateway = await startTestGateway();
    const address = this.otherGateway.gateway.peerAddress;
    this.stalling.peers.put("other", { address, capacity: 1 });
    // It asks every 100 ms until one has answered, whatever its callers do.
    do {
      this.firedDelaysMs.splice(0);
      await wait(timers, restMs);
    } while (this.firedDelaysMs.some((delayMs) => delayMs <= shortMs));
  },
);

function sendRequest(caller: RawCaller, index: number): void {
  caller.send({ path: "/story/1", attemptId: `stalled-${index}` });
}

/** Keeps the event loop of the gateway, which is this one, from going on. */
function stall(durationMs: number): void {
  const endMs = timers.nowMs() + durationMs;
  while (timers.nowMs() < endMs);
}

When(
  /^all send a request and (leave|wait) while the gateway stalls for (\d+) ms$/,
  async function (this: World, then: string, stallMs: string) {
    await setImmediate();
    this.stallCallers.forEach((caller, index) => {
      sendRequest(caller, index);
      if (then === "leave") caller.socket.destroy();
    });
    stall(Number(stallMs));
  },
);

Given(
  "the runner has answered all at once, and a second one has their next requests",
  async function (this: World) {
    const { stallCallers: callers, stallRunner: runner } = this;
    this.secondRunner = await ScriptedRunner.create(() => {});
    runner.script = () => {};
    callers.forEach(sendRequest);
    await waitForRequests(runner, callers.length);
    runner.script = answerWhole;
    runner.requests.forEach(answerWhole);
    for (const caller of callers) await caller.waitUntil(isAnswered);
    await listRunners(this.stalling, {
      draining: [runner],
      ready: [this.secondRunner],
    });
    callers.forEach(sendRequest);
    await waitForRequests(this.secondRunner, callers.length);
    await listRunners(this.stalling, { ready: [runner, this.secondRunner] });
  },
);

async function waitForRequests(
  { requests }: ScriptedRunner,
  count: number,
): Promise<void> {
  while (requests.length < count) await wait(timers, 1);
}

/** Lists runners in the store and waits until the gateway knows of them. */
async function listRunners(
  { gateway, runners }: TestGateway,
  { draining = [], ready }: {
    draining?: ScriptedRunner[];
    ready: ScriptedRunner[];
  },
): Promise<void> {
  for (const { address } of [...draining, ...ready]) {
    const isDraining = draining.some((runner) => runner.address === address);
    const record = createRunnerRecord(address, address);
    runners.put(address, { ...record, isDraining });
  }
  const countDraining = () =>
    gateway.listRunners().filter(({ isDraining }) => isDraining).length;
  const count = draining.length + ready.length;
  while (
    gateway.runnerCount !== count || countDraining() !== draining.length
  ) {
    await wait(timers, 1);
  }
}

When(
  "the second runner refuses all and the callers leave while the gateway stalls for {int} ms",
  async function (this: World, stallMs: number) {
    await setImmediate();
    this.secondRunner?.requests.forEach(refuseAsNotRun);
    for (const { socket } of this.stallCallers) socket.destroy();
    stall(stallMs);
  },
);

When(
  "{int} more callers connect, send a request and leave while each turn of the event loop takes {int} ms",
  async function (this: World, count: number, turnMs: number) {
    const slowTurns = takeSlowTurns(2 * count, turnMs);
    const { callerAddress } = this.stalling.gateway;
    await Promise.all(Array.from({ length: count }, async (_, index) => {
      const caller = await RawCaller.create(callerAddress);
      sendRequest(caller, index);
      caller.socket.destroy();
    }));
    await slowTurns;
  },
);

/** Takes turns of the event loop that are long, though not as long as stalls. */
async function takeSlowTurns(count: number, turnMs: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    stall(turnMs);
    await setImmediate();
  }
}

When(
  "each of them sends a request, one after the other",
  async function (this: World) {
    this.firedDelaysMs.splice(0);
    for (const [index, caller] of this.stallCallers.entries()) {
      sendRequest(caller, index);
      await caller.waitUntil(isAnswered);
    }
  },
);

Then(
  "at most {int} requests have reached the runner {int} ms later",
  async function (this: World, limit: number, laterMs: number) {
    await wait(timers, laterMs);
    const { length } = this.stallRunner.requests;
    assert.ok(length <= limit, `${length} have reached it`);
  },
);

Then("all are answered", async function (this: World) {
  for (const caller of this.stallCallers) await caller.waitUntil(isAnswered);
  assert.equal(this.stallRunner.requests.length, this.stallCallers.length);
});

function isAnswered({ text }: RawCaller): boolean {
  return text.startsWith("HTTP/1.1 200") && text.endsWith("0\r\n\r\n");
}

Then("none of them has waited for a timer", function (this: World) {
  const short = this.firedDelaysMs.filter((delayMs) => delayMs <= shortMs);
  assert.deepEqual(short, []);
});

/** Time without a short timer after which none is due any more. */
const restMs = 500;

/** Longest delay that a request could wait for unnoticed by its caller. */
const shortMs = 100;

/** Creates a timer service that records the delays of the timers that fire. */
function recordFired(delaysMs: number[]): TimerService {
  return {
    nowMs: () => timers.nowMs(),
    wallMs: () => timers.wallMs(),
    subscribe: (periodMs, handler) => timers.subscribe(periodMs, handler),
    schedule: (delayMs, handler) =>
      timers.schedule(delayMs, (nowMs) => {
        delaysMs.push(delayMs);
        handler(nowMs);
      }),
  };
}
