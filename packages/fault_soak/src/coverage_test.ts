import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import {
  addToCoverageFile,
  countCoverage,
  type FaultKind,
  type PlannedFault,
} from "./mod.ts";

type World = {
  coverageFolder: string;
  coverageFile: string;
  schedules: PlannedFault[][];
  coverageError: unknown;
};

Before({ name: "coverage" }, function (this: World) {
  this.schedules = [];
});

function createFile(world: World): void {
  world.coverageFolder ??= mkdtempSync(join(tmpdir(), "jasminetide-coverage-"));
  world.coverageFile = join(world.coverageFolder, "coverage.csv");
}

After(function (this: World) {
  if (this.coverageFolder === undefined) return;
  rmSync(this.coverageFolder, { recursive: true });
});

Given(/^an episode with (".*)$/, function (this: World, text: string) {
  const faults = text.matchAll(/"([a-z-]+)" at (\d+) to (\d+) s/g);
  this.schedules.push([...faults].map(([, kind, start, end]) => ({
    kind: kind as FaultKind,
    target: 0,
    startMs: Number(start) * 1000,
    durationMs: (Number(end) - Number(start)) * 1000,
  })));
});

Given(
  "a coverage file with the text {string}",
  function (this: World, text: string) {
    createFile(this);
    writeFileSync(this.coverageFile, text);
  },
);

When(
  "their coverage is added to an empty file, and added again",
  function (this: World) {
    createFile(this);
    for (let time = 0; time < 2; time++) {
      addToCoverageFile(this.coverageFile, countCoverage(this.schedules));
    }
  },
);

When("their coverage is added to it", function (this: World) {
  try {
    addToCoverageFile(this.coverageFile, countCoverage(this.schedules));
  } catch (thrown) {
    this.coverageError = thrown;
  }
});

Then("the file has the rows {string}", function (this: World, rows: string) {
  const expected = ["fault,with,episodes", ...rows.split(" ")];
  const lines = readFileSync(this.coverageFile, "utf8").trim().split("\n");
  assert.deepEqual(lines, expected);
});

Then(
  "an error names {string} and the file is as it was",
  function (this: World, text: string) {
    assert.match(String(this.coverageError), new RegExp(text));
    assert.equal(readFileSync(this.coverageFile, "utf8"), text);
  },
);
