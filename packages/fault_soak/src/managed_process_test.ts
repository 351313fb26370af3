import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setImmediate, setTimeout } from "node:timers/promises";
import { After, Then, When } from "@cucumber/cucumber";
import { ManagedProcess } from "./managed_process.ts";

type World = { processFolder: string };

/** Times since the begin of the step by which processes have started or ended. */
const firstEndMs = 1500;
const secondEndMs = 2000;
const handledMs = 3000;

/** Period at which the log is read until it is complete. */
const pollMs = 10;

When(
  "a process writes {int} lines and ends while the exit of another one is handled",
  async function (this: World, lines: number) {
    this.processFolder = mkdtempSync(join(tmpdir(), "jasminetide-process-"));
    const startMs = Date.now();
    const connection = await connectToSelf();
    connection.receiver.once("data", () => stallUntil(startMs + handledMs));
    startScript(this, "first", "");
    const second = startScript(
      this,
      "second",
      `while (Date.now() < ${startMs + secondEndMs});
      process.stdout.write("line\\n".repeat(${lines}));`,
    );
    await setImmediate();
    // The loop handles the byte before the exit of the first process, and sees
    // that the second one has ended before it reads its lines.
    connection.sender.write("a");
    stallUntil(startMs + firstEndMs);
    await second.waitForExit();
    connection.sender.destroy();
  },
);

function startScript(
  { processFolder }: World,
  name: string,
  text: string,
): ManagedProcess {
  const script = join(processFolder, `${name}.mjs`);
  writeFileSync(script, text);
  const logFile = join(processFolder, `${name}.log`);
  return ManagedProcess.create({ name, script, logFile });
}

async function connectToSelf(): Promise<{ sender: Socket; receiver: Socket }> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const accepted = once(server, "connection") as Promise<[Socket]>;
  const { port } = server.address() as AddressInfo;
  const sender = connect(port, "127.0.0.1");
  const [receiver] = await accepted;
  server.close();
  return { sender, receiver };
}

function stallUntil(endMs: number): void {
  while (Date.now() < endMs);
}

After(function (this: World) {
  if (this.processFolder === undefined) return;
  rmSync(this.processFolder, { recursive: true });
});

Then(
  "its log has {int} lines and how it ended",
  async function (this: World, count: number) {
    const end = "exit 0 null\n";
    let text = "";
    while (!text.endsWith(end)) {
      await setTimeout(pollMs);
      text = readFileSync(join(this.processFolder, "second.log"), "utf8");
    }
    assert.equal(text.split("line\n").length - 1, count);
  },
);
