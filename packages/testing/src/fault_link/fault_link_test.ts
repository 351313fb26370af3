import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { FaultLink } from "./mod.ts";

type World = {
  link: FaultLink;
  /** Bytes of the answer and how the connection ended. */
  received: { size: number; end: "closed" | "reset" };
  linkCleanUps: (() => Promise<unknown>)[];
};

Given(
  /^a server behind a fault link that (closes|resets) each connection after (\d+) bytes$/,
  async function (this: World, action: string, bytes: string) {
    const server = createServer((socket) => {
      socket.on("error", () => socket.destroy());
      // The client sends bytes once it has received some.
      socket.on("data", () => {
        if (action === "resets") socket.resetAndDestroy();
        else socket.destroy();
      });
      socket.write("x".repeat(Number(bytes)));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    this.link = await FaultLink.create({
      getTarget: () => `127.0.0.1:${port}`,
    });
    this.linkCleanUps = [
      () => this.link[Symbol.asyncDispose](),
      () => new Promise((resolve) => server.close(resolve)),
    ];
  },
);

When("a client connects to the link", async function (this: World) {
  const [host, port] = this.link.address.split(":");
  const socket = connect(Number(port), host);
  let size = 0;
  let end: World["received"]["end"] = "closed";
  socket.on("data", (bytes) => {
    size += bytes.length;
    socket.write("received");
  });
  socket.on("error", () => end = "reset");
  await new Promise((resolve) => socket.once("close", resolve));
  this.received = { size, end };
});

Then(
  /^the client receives (\d+) bytes and its connection is (closed|reset)$/,
  function (this: World, bytes: string, end: World["received"]["end"]) {
    assert.deepEqual(this.received, { size: Number(bytes), end });
  },
);

After(async function (this: World) {
  for (const cleanUp of this.linkCleanUps ?? []) await cleanUp();
});
