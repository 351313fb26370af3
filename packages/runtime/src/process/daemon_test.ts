import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  assertInvariant,
  getViolationCounts,
  normalizeError,
} from "@jasminetide/core/results";
import { createSilentLogger, type LogFields } from "../logging/mod.ts";
import { logViolations } from "./mod.ts";

type World = {
  violationHandler: Disposable | undefined;
  violationLines: LogFields[];
  violationCode: number | undefined;
};

Given("a program that logs violated invariants", function (this: World) {
  this.violationLines = [];
  this.violationHandler = logViolations({
    ...createSilentLogger(),
    error: (_event, fields = {}) => this.violationLines.push(fields),
  });
});

After(function (this: World) {
  this.violationHandler?.[Symbol.dispose]();
});

When(
  "the invariant {string} is violated",
  function (this: World, name: string) {
    this.violationCode = undefined;
    try {
      assertInvariant(false, name, () => "violated by the test");
    } catch (thrown) {
      this.violationCode = normalizeError(thrown).code;
    }
  },
);

Then(
  "an error with code {int} is thrown",
  function (this: World, code: number) {
    assert.equal(this.violationCode, code);
  },
);

Then(
  "nothing is thrown, {string} is logged once and counted",
  function (this: World, name: string) {
    assert.equal(this.violationCode, undefined);
    assert.deepEqual(this.violationLines, [
      { invariant: name, detail: "violated by the test" },
    ]);
    assert.ok((getViolationCounts().get(name) ?? 0) > 0);
  },
);
