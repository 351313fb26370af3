import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { parseAddress } from "@jasminetide/runtime/settings";
import { type HostedLink, LinkHost } from "./link_host.ts";
import { ManagedProcess } from "./managed_process.ts";
import { reservePort } from "./ports.ts";

type World = {
  link: HostedLink;
  socket: Socket;
  sentAtMs: number;
  arrivedAtMs: number | undefined;
  hostCleanUps: (() => unknown)[];
};

Given(
  "a process that notes when bytes reach it over a link",
  async function (this: World) {
    const folder = mkdtempSync(join(tmpdir(), "jasminetide-link-"));
    const script = join(folder, "server.mjs");
    const port = await reservePort(createSeededRandom(process.pid));
    writeFileSync(
      script,
      `import { createServer } from "node:net";
      createServer((socket) => {
        socket.on("data", () => console.log(Date.now()));
      }).listen(${port}, "127.0.0.1", () => console.log("listening"));`,
    );
    let markListening: () => void;
    const listening = new Promise<void>((resolve) => markListening = resolve);
    const server = ManagedProcess.create({
      name: "server",
      script,
      logFile: join(folder, "server.log"),
      onLine: (line) => {
        if (line === "listening") markListening();
        else this.arrivedAtMs = Number(line);
      },
    });
    const links = LinkHost.create();
    this.hostCleanUps = [
      () => this.socket.destroy(),
      () => links[Symbol.asyncDispose](),
      () => server[Symbol.asyncDispose](),
      () => rmSync(folder, { recursive: true }),
    ];
    await listening;
    this.link = await links.createLink(`127.0.0.1:${port}`);
    const { ip, port: linkPort } = parseAddress(this.link.address);
    this.socket = connect(linkPort, ip);
    await once(this.socket, "connect");
  },
);

When(
  "bytes are sent to it and this process is busy for {int} ms",
  async function (this: World, busyMs: number) {
    this.sentAtMs = Date.now();
    this.socket.write("request");
    while (Date.now() < this.sentAtMs + busyMs);
    await setTimeout(busyMs);
  },
);

When(
  "the link drops requests and bytes are sent to it",
  async function (this: World) {
    await this.link.setSilentDirections(["requests"]);
    this.socket.write("request");
  },
);

Then(
  "they reached it within {int} ms",
  function (this: World, limitMs: number) {
    assert.ok(this.arrivedAtMs !== undefined, "nothing arrived");
    const afterMs = this.arrivedAtMs - this.sentAtMs;
    assert.ok(afterMs < limitMs, `after ${afterMs} ms`);
  },
);

Then(
  "nothing reached it within {int} ms",
  async function (this: World, limitMs: number) {
    await setTimeout(limitMs);
    assert.equal(this.arrivedAtMs, undefined);
  },
);

After(async function (this: World) {
  for (const cleanUp of this.hostCleanUps ?? []) await cleanUp();
});
