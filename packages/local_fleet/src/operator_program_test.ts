import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { runOperator } from "@jasminetide/operator";
import { RealTimerService } from "@jasminetide/runtime/clock";
import type { LocalFleet } from "./local_fleet.ts";

type Run = { exitCode: number; text: string };

type World = { fleet: LocalFleet; folder: string; run: Run; runs: Run[] };

const fleetFile = fileURLToPath(
  new URL("../../../examples/local/fleet.jsonc", import.meta.url),
);
const timers = RealTimerService.create();

function getCopy(world: World, name: string): string {
  return join(world.folder, `${name}.jsonc`);
}

/** Runs a command line; arguments that name a copy become its path. */
async function execute(world: World, line: string): Promise<Run> {
  const args = line.split(" ").map((arg) =>
    arg === "mine" || arg === "theirs" ? getCopy(world, arg) : arg
  );
  let text = "";
  const write = (chunk: string) => void (text += chunk);
  const isWithoutPlatform = args[0].startsWith("--");
  const exitCode = await runOperator(
    isWithoutPlatform
      ? args
      : [...args, "--platform", world.fleet.platformAddress],
    { write, writeError: write, isTerminal: false },
  );
  return { exitCode, text };
}

Given(
  "an operator's copy {string} of its declaration",
  async function (this: World, name: string) {
    this.folder ??= await mkdtemp(join(tmpdir(), "jasminetide-"));
    await writeFile(getCopy(this, name), await readFile(fleetFile, "utf8"));
  },
);

After(async function (this: World) {
  if (this.folder !== undefined) await rm(this.folder, { recursive: true });
});

Given(
  "copy {string} sets defaults {string} to {int}",
  async function (this: World, name: string, path: string, value: number) {
    const field = path.split(".")[1];
    const text = await readFile(getCopy(this, name), "utf8");
    const edited = text.replace(
      new RegExp(`"${field}": [\\d.]+`),
      `"${field}": ${value}`,
    );
    assert.notEqual(edited, text);
    await writeFile(getCopy(this, name), edited);
  },
);

Given(
  "the platform loses the answers of all writes",
  function (this: World) {
    this.fleet.objects.faults.lostWriteAnswers = 1;
  },
);

Given("the platform is down", function (this: World) {
  this.fleet.objects.faults.outage = true;
});

When(
  "the operator runs {string}",
  async function (this: World, line: string) {
    this.run = await execute(this, line);
  },
);

When(
  "a caller refunds {int} to account {string} with key {string}",
  async function (this: World, amount: number, account: string, key: string) {
    const [router] = this.fleet.routers;
    const response = await fetch(
      `http://${router.callerAddress}/deposit-ledger/refunds`,
      {
        method: "POST",
        headers: {
          "authorization": "Bearer local-key",
          "idempotency-key": key,
        },
        body: JSON.stringify({ account, amount }),
      },
    );
    assert.equal(response.status, 201, await response.text());
  },
);

When("both copies are applied concurrently", async function (
  this: World,
) {
  this.runs = await Promise.all([
    execute(this, "apply --file mine"),
    execute(this, "apply --file theirs"),
  ]);
});

Then(
  "it exits with {int} and prints {string}",
  function (this: World, exitCode: number, text: string) {
    assert.equal(this.run.exitCode, exitCode, this.run.text);
    assert.ok(this.run.text.includes(text), this.run.text);
  },
);

Then("one exits with 0 and the other with 3", function (this: World) {
  const codes = this.runs.map((run) => run.exitCode).sort();
  assert.deepEqual(codes, [0, 3]);
});

Then(
  "{string} soon exits with {int} and prints {string}",
  async function (this: World, line: string, exitCode: number, text: string) {
    this.run = await execute(this, line);
    while (this.run.exitCode !== exitCode || !this.run.text.includes(text)) {
      await new Promise((resolve) => timers.schedule(20, resolve));
      this.run = await execute(this, line);
    }
  },
);

Then(
  "copy {string} still sets defaults {string} to {int}",
  async function (this: World, name: string, path: string, value: number) {
    const text = await readFile(getCopy(this, name), "utf8");
    assert.ok(text.includes(`"${path.split(".")[1]}": ${value}`));
  },
);

Then(
  "the platform holds a drain of runner {string} for {string}",
  function (this: World, runner: string, reason: string) {
    const stored = this.fleet.objects.store.get(`drains/runner-${runner}`);
    const intent = JSON.parse(stored?.value ?? "{}");
    assert.deepEqual([intent.name, intent.state, intent.reason], [
      runner,
      "draining",
      reason,
    ]);
  },
);

Then("the output contains no key and no hash of a key", function (this: World) {
  assert.ok(!/local-key|local-operator|[0-9a-f]{64}/.test(this.run.text));
});
