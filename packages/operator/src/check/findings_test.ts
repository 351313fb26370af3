import assert from "node:assert/strict";
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { findingSeverities } from "@jasminetide/core/findings";
import { wait } from "@jasminetide/core/timers";
import {
  createDeclaration,
  startTestGateway,
  type TestGateway,
} from "@jasminetide/gateway/test_support";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { formatAffected, type RankedChange } from "../changes/mod.ts";
import { runOperator } from "../commands/mod.ts";
import type { LocatedFinding } from "./mod.ts";

type Run = { exitCode: number; text: string };

type World = {
  example: string;
  findingsRun: Run;
  comparedFolder: string;
  comparedGateway: TestGateway;
};

type JsonReport = {
  findings: LocatedFinding[];
  comparison?: { changes: RankedChange[] };
};

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const examples = join(root, "packages/operator/src/check/examples");
const timers = RealTimerService.create();

async function runCheck(...args: string[]): Promise<Run> {
  let text = "";
  const write = (chunk: string) => void (text += chunk);
  const exitCode = await runOperator(
    ["check", ...args],
    { write, writeError: write, isTerminal: false },
  );
  return { exitCode, text };
}

/** Gets the file of an example, or its folder if it is a fleet. */
function getExample(code: string): string {
  const name = code.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
  return join(examples, code === "tooFewRunners" ? name : `${name}.jsonc`);
}

When(
  "the operator checks the example of {string}",
  async function (this: World, code: string) {
    this.example = code;
    this.findingsRun = await runCheck("--json", getExample(code));
  },
);

Then(
  "its only finding is a {string} on the line that names it",
  async function (this: World, severity: string) {
    const { findings } = JSON.parse(this.findingsRun.text) as JsonReport;
    const found = findings.map((finding) => [finding.code, finding.severity]);
    assert.deepEqual(found, [[this.example, severity]]);
    const lines = (await readFile(findings[0].file, "utf8")).split(
      "\n",
    );
    assert.match(
      lines[findings[0].line - 1],
      new RegExp(`// ${this.example}$`),
    );
    const { text } = await runCheck(getExample(this.example));
    assert.ok(text.includes(findings[0].path), text);
  },
);

Then(
  "the check exits with {int}, and with 1 if it is strict",
  async function (this: World, exitCode: number) {
    assert.equal(this.findingsRun.exitCode, exitCode);
    const strict = await runCheck("--strict", getExample(this.example));
    assert.equal(strict.exitCode, 1);
  },
);

Then(
  "the examples are those of all kinds of findings",
  async function () {
    const files = (await readdir(examples)).map((file) => join(examples, file));
    const kinds = Object.keys(findingSeverities).map(getExample);
    assert.deepEqual(files.sort(), kinds.sort());
  },
);

Then(
  "the operators' page lists all of them with their severity",
  async function () {
    const page = join(root, "docs/operators/checking-a-configuration.md");
    const rows = (await readFile(page, "utf8")).matchAll(
      /^\| `(\w+)` +\| (error|warning) +\|/gm,
    );
    const listed = [...rows].map(([, code, severity]) => [code, severity]);
    assert.deepEqual(Object.fromEntries(listed), findingSeverities);
  },
);

When("the operator checks {string}", async function (
  this: World,
  line: string,
) {
  const [folder, ...flags] = line.split(" ");
  this.findingsRun = await runCheck(...flags, join(root, folder));
});

Then(
  "the check prints exactly {string} and exits with {int}",
  function (this: World, text: string, exitCode: number) {
    assert.deepEqual(this.findingsRun, { text, exitCode });
  },
);

Then("the check exits with {int}", function (this: World, exitCode: number) {
  const { findingsRun } = this;
  assert.equal(findingsRun.exitCode, exitCode, findingsRun.text);
});

/** Writes two documents and checks the second one against the first one. */
async function compareFiles(
  world: World,
  versions: { before: object; after: object },
): Promise<void> {
  const before = await writeDocument(world, "before", versions.before);
  const after = await writeDocument(world, "after", versions.after);
  world.findingsRun = await runCheck("--json", after, "--against", before);
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

Then(
  "the changes are, in this order:",
  function (this: World, table: DataTable) {
    const { comparison } = JSON.parse(this.findingsRun.text) as JsonReport;
    const rows = comparison?.changes.map(({ affected, path }) => ({
      path,
      affects: formatAffected(affected),
    }));
    assert.deepEqual(rows, table.hashes());
  },
);

Then("no API key is printed", function (this: World) {
  assert.ok(!/(old|new|counter)-key/.test(this.findingsRun.text));
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
  world.findingsRun = await runCheck("--json", file, "--against", address);
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
  "the operator checks the example of {string} against a declaration",
  async function (this: World, code: string) {
    const other = join(root, "examples/local/fleet.jsonc");
    this.findingsRun = await runCheck(getExample(code), "--against", other);
  },
);
