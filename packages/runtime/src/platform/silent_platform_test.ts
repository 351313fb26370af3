import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { PlatformClient, type StoredObject } from "./mod.ts";

type World = {
  silentPlatform: Server;
  /** Connections on which the platform answers nothing any more. */
  silentSockets: Set<Socket>;
  openSockets: Set<Socket>;
  readsTogether: ServerResponse[];
  connectedClient: PlatformClient;
};

function read(world: World): Promise<StoredObject | undefined> {
  return world.connectedClient.get({ kind: "k", name: "a" });
}

function answer(response: ServerResponse): void {
  response.writeHead(200, { etag: '"7"', "store-epoch": "0" }).end("value");
}

Given(
  "a platform, and a client with {int} open connections to it",
  async function (this: World, connections: number) {
    let together = connections;
    this.silentSockets = new Set();
    this.openSockets = new Set();
    this.readsTogether = [];
    this.silentPlatform = createServer((request, response) => {
      if (this.silentSockets.has(request.socket)) return;
      this.openSockets.add(request.socket);
      this.readsTogether.push(response);
      if (this.readsTogether.length < together) return;
      this.readsTogether.splice(0).forEach(answer);
      together = 1;
    });
    this.silentPlatform.listen(0, "127.0.0.1");
    await once(this.silentPlatform, "listening");
    const { port } = this.silentPlatform.address() as AddressInfo;
    this.connectedClient = PlatformClient.create({
      address: `127.0.0.1:${port}`,
      timeoutMs: 200,
    });
    const reads = Array.from({ length: connections }, () => read(this));
    await Promise.all(reads);
    assert.equal(this.openSockets.size, reads.length);
    // The pool reuses a connection from the turn after its answer on.
    await setImmediate();
  },
);

After(async function (this: World) {
  if (this.silentPlatform === undefined) return;
  await this.connectedClient[Symbol.asyncDispose]();
  this.silentPlatform.closeAllConnections();
  this.silentPlatform.close();
});

When("the connections to the platform fall silent", function (this: World) {
  for (const socket of this.openSockets) this.silentSockets.add(socket);
});

Then("the next read gets no answer in time", async function (this: World) {
  await assert.rejects(read(this), /did not answer/);
});

Then("the read after it is answered", async function (this: World) {
  assert.equal((await read(this))?.value, "value");
});
