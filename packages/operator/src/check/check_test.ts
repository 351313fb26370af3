import assert from "node:assert/strict";
import { cp, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { checkDocuments, type CheckReport } from "./mod.ts";

type World = { checkFolder: string; report: CheckReport };

const root = fileURLToPath(new URL("../../../../", import.meta.url));

When(
  "the documents of {string} are checked",
  async function (this: World, folder: string) {
    this.report = (await checkDocuments([join(root, folder)])).report;
  },
);

Then(
  "{int} files are found without faults",
  function (this: World, count: number) {
    assert.deepEqual(this.report.faults, []);
    assert.equal(this.report.files.length, count);
  },
);

Given(
  /^a copy of the local fleet whose "(.+)" has (.+) in place of (.+)$/,
  async function (this: World, file: string, found: string, old: string) {
    this.checkFolder = await mkdtemp(join(tmpdir(), "jasminetide-"));
    const source = join(root, "examples/local");
    await cp(source, this.checkFolder, { recursive: true });
    const path = join(this.checkFolder, file);
    const text = await readFile(path, "utf8");
    assert.ok(text.includes(old));
    await writeFile(path, text.replace(old, found));
  },
);

Given(
  "a gateway's settings with a string as slack and no caller address",
  async function (this: World) {
    this.checkFolder = await mkdtemp(join(tmpdir(), "jasminetide-"));
    const source = join(root, "examples/gateway");
    await cp(source, this.checkFolder, { recursive: true });
    const path = join(this.checkFolder, "gateways/gateway_1.jsonc");
    const text = await readFile(path, "utf8");
    await writeFile(
      path,
      text.replace('"slack": 54', '"slack": "54"')
        .replace(/ {2}"callerAddress".*\n/, ""),
    );
  },
);

Given(
  "a document {string} that stops on line {int}",
  async function (this: World, file: string, line: number) {
    this.checkFolder = await mkdtemp(join(tmpdir(), "jasminetide-"));
    const lines = ['{"Version": 1,', '"Routes": [', '{"Name": "tick'];
    assert.equal(lines.length, line);
    await writeFile(join(this.checkFolder, file), lines.join("\n"));
  },
);

Then(
  "all faults of the report are in {string} on line {int}",
  function (this: World, file: string, line: number) {
    const { faults } = this.report;
    assert.ok(faults.length > 0);
    for (const fault of faults) {
      assert.equal(fault.file, join(this.checkFolder, file));
      assert.equal(fault.line, line);
      assert.match(fault.found, /malformed/);
    }
  },
);

After(async function (this: World) {
  if (this.checkFolder !== undefined) {
    await rm(this.checkFolder, { recursive: true });
  }
});

When("the copy is checked", async function (this: World) {
  this.report = (await checkDocuments([this.checkFolder])).report;
});

Then(
  "the report has a fault in {string} at {string} with {string}",
  function (this: World, file: string, path: string, text: string) {
    const fault = this.report.faults.find((candidate) =>
      candidate.file === join(this.checkFolder, file) && candidate.path === path
    );
    assert.ok(fault, JSON.stringify(this.report.faults));
    assert.ok(`${fault.found} ${fault.wanted}`.includes(text));
    assert.ok(fault.line > 1);
  },
);
