import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { Then } from "@cucumber/cucumber";
import { resultCodes } from "./codes.ts";
import { AppError } from "./errors.ts";
import { formatResultTable } from "./table.ts";

const page = new URL("../../../../docs/result-codes.md", import.meta.url);

/** Gets the table rows, without the padding that the formatter adds. */
function getRows(text: string): string[] {
  return text.split("\n")
    .filter((line) => line.startsWith("|") && !/^[| -]+$/.test(line))
    .map((line) => line.split("|").map((cell) => cell.trim()).join("|"));
}

Then(
  "docs\\/result-codes.md has the rows of the generated table",
  async () => {
    const text = await readFile(page, "utf8");
    assert.deepEqual(getRows(text), getRows(formatResultTable()));
  },
);

Then("no two results share a code", () => {
  const codes = Object.values(resultCodes).map((row) => row.code);
  assert.equal(new Set(codes).size, codes.length);
});

Then(
  "an error whose cause has the code {string} has its own code",
  (code: string) => {
    const cause = Object.assign(new Error("Other side closed"), { code });
    const error = AppError.create("runnerFailed", "Runner failed", { cause });
    assert.deepEqual(
      [error.code, error.message, error.cause],
      [resultCodes.runnerFailed.code, "Runner failed", cause],
    );
  },
);
