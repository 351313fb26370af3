import assert from "node:assert/strict";
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type AppError, normalizeError } from "@jasminetide/core/results";
import { parseAddress } from "../settings/mod.ts";
import { type ListeningServer, readBody, startServer } from "./server.ts";

type World = {
  bodyListener: ListeningServer;
  bodyCaller: Socket;
  body?: Promise<Buffer | AppError>;
};

Given(
  "a listener that reads bodies, and a connected caller",
  async function (this: World) {
    this.bodyListener = await startServer(
      "127.0.0.1:0",
      (request, response) => {
        this.body = readBody(request, 100).catch(normalizeError);
        void this.body.then(() => response.end());
      },
    );
    const { ip, port } = parseAddress(this.bodyListener.address);
    const accepted = once(this.bodyListener.server, "connection");
    this.bodyCaller = connect(port, ip);
    await Promise.all([accepted, once(this.bodyCaller, "connect")]);
  },
);

After(async function (this: World) {
  this.bodyCaller?.destroy();
  await this.bodyListener?.[Symbol.asyncDispose]();
});

When(
  /^the caller sends a request and (leaves|stays) while the process stalls for (\d+) ms$/,
  async function (this: World, then: string, stallMs: string) {
    await setImmediate();
    this.bodyCaller.write(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
    );
    if (then === "leaves") this.bodyCaller.destroy();
    const endMs = performance.now() + Number(stallMs);
    while (performance.now() < endMs);
  },
);

Then(
  "the request ends with {string}",
  async function (this: World, result: string) {
    const body = await waitForBody(this);
    assert.ok("result" in body, `the body is ${String(body)}`);
    assert.equal(body.result, result);
  },
);

Then("its body is read", async function (this: World) {
  assert.equal(String(await waitForBody(this)), "body");
});

async function waitForBody(world: World): Promise<Buffer | AppError> {
  while (world.body === undefined) await setImmediate();
  return await world.body;
}
