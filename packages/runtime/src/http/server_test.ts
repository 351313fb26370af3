import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { parseAddress } from "../settings/mod.ts";
import { type ListeningServer, startServer } from "./server.ts";

type World = {
  listener: ListeningServer;
  socket: Socket;
  answered: Promise<string>;
  openResponse: ServerResponse;
};

async function startListener(world: World): Promise<void> {
  world.listener = await startServer("127.0.0.1:0", (_request, response) => {
    world.openResponse = response;
    world.listener.server.emit("test-request");
  });
}

After(async function (this: World) {
  await this.listener?.[Symbol.asyncDispose]();
});

Given(
  "a listener with a connection that has sent nothing",
  async function (this: World) {
    await startListener(this);
    const accepted = once(this.listener.server, "connection");
    const { ip, port } = parseAddress(this.listener.address);
    this.socket = connect(port, ip);
    await accepted;
  },
);

When("the listener stops", async function (this: World) {
  await this.listener.close();
});

Then(
  "it has stopped and the connection is closed",
  async function (this: World) {
    assert.equal(this.listener.server.listening, false);
    if (!this.socket.destroyed) await once(this.socket, "close");
  },
);

Given("a listener with an open request", async function (this: World) {
  await startListener(this);
  const arrived = once(this.listener.server, "test-request");
  this.answered = fetch(`http://${this.listener.address}/`)
    .then((response) => response.text());
  await arrived;
});

When(
  "the listener stops and the request is answered",
  async function (this: World) {
    const closed = this.listener.close();
    this.openResponse.end("whole");
    await this.answered;
    await closed;
  },
);

Then("the caller has the answer", async function (this: World) {
  assert.equal(await this.answered, "whole");
});
