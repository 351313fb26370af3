import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import {
  createDeclaration,
  startTestGateway,
  type TestGateway,
} from "@jasminetide/gateway/test_support";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { formatAffected, type RankedChange } from "../changes/mod.ts";
import { type CheckRun, runCheck } from "./test_support/run_check.ts";

type World = {
  comparisonRun: CheckRun;
  comparedFolder: string;
  comparedGateway: TestGateway;
};

type JsonReport = { comparison?: { changes: RankedChange[] } };

const timers = RealTimerService.create();

/** Writes two documents and checks the second one against the first one. */
async function compareFiles(
  world: World,
  versions: { before: object; after: object },
): Promise<void> {
  const before = await writeDocument(world, "before", versions.before);
  const after = await writeDocument(world, "after", versions.after);
  world.comparisonRun = await runCheck("--json", after, "--against", before);
}

async function writeDocument(
  world: World,
  name: string,
  document: object,
): Promise<string> {
  world.comparedFolder ??= await mkdtemp(join(tmpdir(), "jasminetide-"));
  const file = join(world.comparedFolder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(document));
  return file;
}

After(async function (this: World) {
  if (this.comparedFolder !== undefined) {
    await rm(this.comparedFolder, { recursive: true });
  }
  await this.comparedGateway?.gateway[Symbol.asyncDispose]();
});

function createRoutes(
  values: {
    key: string;
    timeoutMs: number;
    maxBodyBytes: number;
    coldPerSecond: number;
  },
) {
  const { coldPerSecond, key, maxBodyBytes, timeoutMs } = values;
  const createRoute = (name: string, service: string) => ({
    name,
    host: "h",
    pathPrefix: `/${name}/`,
    kind: "idempotent",
    timeoutMs: name === "lookup" ? timeoutMs : 1000,
    goalMs: 100,
    services: [{ service, weight: 1 }],
  });
  return {
    version: 1,
    routes: [
      createRoute("lookup", "desk"),
      createRoute("story", "engine"),
      createRoute("summary", "engine"),
    ],
    workspaces: [
      { name: "kiosk", apiKeys: [key] },
      { name: "counter", apiKeys: ["counter-key"] },
    ],
    services: [{ name: "desk" }, { name: "engine", coldPerSecond }],
    callerLimits: { maxBodyBytes, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
  };
}

When(
  "a routes document is checked against one with other keys and limits",
  async function (this: World) {
    await compareFiles(this, {
      before: createRoutes({
        key: "old-key",
        timeoutMs: 1000,
        maxBodyBytes: 100,
        coldPerSecond: 5,
      }),
      after: createRoutes({
        key: "new-key",
        timeoutMs: 2000,
        maxBodyBytes: 200,
        coldPerSecond: 6,
      }),
    });
  },
);

function createFleet(value: number) {
  const createException = (match: object, set: object) => ({
    match,
    set,
    reason: "Test",
  });
  return {
    formatVersion: 1,
    defaults: {
      request: { maximumBodyBytes: 1000 * value },
      retry: { maximumAttempts: 1 + value },
    },
    classes: [
      { name: "interactive", priority: value },
      { name: "summary", priority: 9 },
    ],
    workspaces: [1, 2, 3].map((index) => ({
      id: `w${index}`,
      keyHashes: [(index === 1 ? String(value) : String(index + 4)).repeat(64)],
    })),
    models: [{ name: "assistant" }],
    services: [{ name: "desk" }],
    exceptions: [
      createException({ workspace: "w2" }, {
        request: { class: "summary" },
        retry: { maximumAttempts: 9 },
      }),
      createException({ service: "desk" }, {
        load: { capMultiple: 1 + value },
      }),
      createException({ host: "h" }, { load: { capMultiple: 2 + value } }),
    ],
  };
}

When(
  "a declaration is checked against one with other defaults and keys",
  async function (this: World) {
    await compareFiles(this, { before: createFleet(1), after: createFleet(2) });
  },
);

When(
  "a declaration is checked against one with the opposite order of exceptions",
  async function (this: World) {
    const fleet = createFleet(1);
    const createException = (match: object, maximumAttempts: number) => ({
      match,
      set: { retry: { maximumAttempts } },
      reason: "Test",
    });
    const exceptions = [
      createException({ host: "h" }, 7),
      createException({ service: "desk" }, 8),
      createException({ workspace: "w1" }, 9),
    ];
    const [host, desk, workspace] = exceptions;
    await compareFiles(this, {
      before: { ...fleet, exceptions: [workspace, desk, host] },
      after: { ...fleet, exceptions: [desk, workspace, host] },
    });
  },
);

Then(
  "the changes are, in this order:",
  function (this: World, table: DataTable) {
    const { comparison } = JSON.parse(this.comparisonRun.text) as JsonReport;
    const rows = comparison?.changes.map(({ affected, path }) => ({
      path,
      affects: formatAffected(affected),
    }));
    assert.deepEqual(rows, table.hashes());
  },
);

Then("no API key is printed", function (this: World) {
  assert.ok(!/(old|new|counter)-key/.test(this.comparisonRun.text));
});

Given(
  "a gateway with its test routes in force",
  async function (this: World) {
    this.comparedGateway = await startTestGateway();
    const { declarations, gateway } = this.comparedGateway;
    declarations.put("main", createDeclaration(1));
    const hasRoutes = async () => {
      const answer = await fetch(`http://${gateway.peerAddress}/dump`);
      return (await answer.text()).includes('"declarationVersion":1');
    };
    while (!await hasRoutes()) await wait(timers, 1);
  },
);

async function checkTestRoutes(world: World, address: string): Promise<void> {
  const declaration = createDeclaration(1);
  const routes = declaration.routes.map((route) =>
    route.name === "lookup" ? { ...route, timeoutMs: 9000 } : route
  );
  const file = await writeDocument(world, "routes", { ...declaration, routes });
  world.comparisonRun = await runCheck("--json", file, "--against", address);
}

When(
  "the operator checks those routes with another time limit against it",
  async function (this: World) {
    await checkTestRoutes(this, this.comparedGateway.gateway.peerAddress);
  },
);

When(
  "the operator checks those routes against a closed port",
  async function (this: World) {
    await checkTestRoutes(this, "127.0.0.1:9");
  },
);

When(
  "the operator checks routes against a declaration",
  async function (this: World) {
    const file = await writeDocument(this, "routes", createDeclaration(1));
    const other = fileURLToPath(
      new URL("../../../../examples/local/fleet.jsonc", import.meta.url),
    );
    this.comparisonRun = await runCheck(file, "--against", other);
  },
);

Then(
  "the comparison exits with {int}",
  function (this: World, exitCode: number) {
    const { comparisonRun } = this;
    assert.equal(comparisonRun.exitCode, exitCode, comparisonRun.text);
  },
);
