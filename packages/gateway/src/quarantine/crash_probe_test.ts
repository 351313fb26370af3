import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { ReadScheduler, RealTimerService } from "@jasminetide/runtime/clock";
import { createRunnerRecord } from "../test_support/mod.ts";
import { Upstream } from "../upstreams/mod.ts";
import { CrashProbe, type ProcessState } from "./crash_probe.ts";

type World = {
  portServer: Server;
  probed: Upstream;
  processState: ProcessState;
};

const timers = RealTimerService.create();

/** Number of connections that are closed at once, by description. */
const closedConnections: Record<string, number> = {
  "refuses connections": 0,
  "accepts and closes one, then none": 1,
  "accepts and closes all connections": Infinity,
  "accepts and closes one": 1,
  "accepts connections": 0,
};

Given(
  /^a runner whose port (.+)$/,
  async function (this: World, what: string) {
    let left = closedConnections[what];
    assert.ok(left !== undefined, what);
    const server = createServer((socket) => {
      if (left === 0) return;
      left -= 1;
      socket.destroy();
      if (what.endsWith("then none")) server.close();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    if (what === "refuses connections") server.close();
    this.portServer = server;
    const record = createRunnerRecord("probed", `127.0.0.1:${port}`);
    const reads = ReadScheduler.create();
    this.probed = Upstream.create(record, { timers, reads });
  },
);

When("its process is probed", async function (this: World) {
  this.processState = await CrashProbe.create(timers).probe(this.probed);
});

Then("it is found {string}", function (this: World, state: string) {
  assert.equal(this.processState, state);
});

After(function (this: World) {
  this.probed?.connections.close();
  if (this.portServer?.listening) this.portServer.close();
});
