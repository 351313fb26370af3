import assert from "node:assert/strict";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Then, When } from "@cucumber/cucumber";
import { findingSeverities } from "@jasminetide/core/findings";
import type { LocatedFinding } from "./mod.ts";
import { type CheckRun, runCheck } from "./test_support/run_check.ts";

type World = { example: string; findingsRun: CheckRun };

type JsonReport = { findings: LocatedFinding[] };

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const examples = join(root, "packages/operator/src/check/examples");

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
