import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { Then } from "@cucumber/cucumber";
import { capacityDataSchema, capacityItems } from "./items.ts";
import { findTable, formatTable, normalizeTable } from "./page.ts";
import { fitLine } from "./points.ts";

const docs = new URL("../../../../docs/", import.meta.url);

Then(
  "docs\\/CAPACITY.md shows the figures of docs\\/data\\/capacity.json",
  async () => {
    const text = await readFile(new URL("data/capacity.json", docs), "utf8");
    const data = capacityDataSchema.parse(JSON.parse(text));
    const page = await readFile(new URL("CAPACITY.md", docs), "utf8");
    assert.equal(data.figures.length, capacityItems.length);
    assert.deepEqual(findTable(page), normalizeTable(formatTable(data)));
  },
);

Then(
  "the line through 1:5, 2:7 and 3:9 has slope {int} and intercept {int}",
  (slope: number, intercept: number) => {
    const line = fitLine([{ x: 1, y: 5 }, { x: 2, y: 7 }, { x: 3, y: 9 }]);
    assert.ok(Math.abs(line.slope - slope) < 1e-9);
    assert.ok(Math.abs(line.intercept - intercept) < 1e-9);
  },
);
