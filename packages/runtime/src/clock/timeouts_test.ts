import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setImmediate, setTimeout } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { RealTimerService, SilenceLimit } from "./mod.ts";

type World = {
  sender: Socket;
  receiver: Socket;
  stallMs: number;
  order: string[];
  limit: SilenceLimit;
};

const timers = RealTimerService.create();

Given(
  "a connection whose other end sends a byte at the start of a stall of {int} ms",
  async function (this: World, stallMs: number) {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const accepted = once(server, "connection") as Promise<[Socket]>;
    const { port } = server.address() as AddressInfo;
    this.receiver = connect(port, "127.0.0.1");
    [this.sender] = await accepted;
    server.close();
    this.stallMs = stallMs;
    this.order = [];
    this.receiver.on("data", () => this.order.push("byte"));
  },
);

After(function (this: World) {
  this.sender?.destroy();
  this.receiver?.destroy();
});

/**
 * Sends a byte and stalls. Begins in the phase of the event loop that timers
 * follow directly, without a read in between.
 */
async function stall({ sender, stallMs }: World): Promise<void> {
  await setImmediate();
  sender.write("a");
  const endMs = timers.nowMs() + stallMs;
  while (timers.nowMs() < endMs);
}

/** Lets all that has become due happen. */
async function settle(): Promise<void> {
  await setTimeout(50);
}

When(
  "a timeout of {int} ms falls due in the stall",
  async function (this: World, delayMs: number) {
    timers.schedule(delayMs, () => this.order.push("timeout"));
    await stall(this);
    await settle();
  },
);

When(
  "a timeout of {int} ms falls due in the stall and the byte disposes of it",
  async function (this: World, delayMs: number) {
    const timeout = timers.schedule(
      delayMs,
      () => this.order.push("timeout"),
    );
    this.receiver.on("data", () => timeout[Symbol.dispose]());
    await stall(this);
    await settle();
  },
);

When(
  "a limit of {int} ms on pauses is exceeded in the stall",
  async function (this: World, pauseMs: number) {
    this.limit = SilenceLimit.create({
      firstMs: pauseMs,
      pauseMs,
      totalMs: 60_000,
    });
    this.receiver.on("data", () => this.limit.recordProgress());
    await stall(this);
    await settle();
  },
);

Then(
  "the byte is read before the timeout is handled",
  function (this: World) {
    assert.deepEqual(this.order, ["byte", "timeout"]);
  },
);

Then("the timeout is not handled", function (this: World) {
  assert.deepEqual(this.order, ["byte"]);
});

Then("the answer is not aborted", function (this: World) {
  const { aborted } = this.limit.signal;
  this.limit[Symbol.dispose]();
  assert.equal(aborted, false);
});
