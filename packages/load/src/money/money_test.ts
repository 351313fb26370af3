import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { InjectedBug } from "./fake_sidecar.ts";
import { type MoneyRunResult, runMoney } from "./money_run.ts";

type World = { result: MoneyRunResult };
type Mode = "refuse" | "open-window";

When(
  "{int} money calls run in mode {string} with seed {int}",
  { timeout: -1 },
  function (this: World, calls: number, outageMode: Mode, seed: number) {
    this.result = runMoney({ seed, calls, outageMode });
  },
);

When(
  "{int} money calls run in mode {string} with seed {int} and restores",
  { timeout: -1 },
  function (this: World, calls: number, outageMode: Mode, seed: number) {
    this.result = runMoney({ seed, calls, outageMode, restoresStore: true });
  },
);

When(
  "{int} money calls run in mode {string} with seed {int} and the bug {string}",
  { timeout: -1 },
  function (
    this: World,
    calls: number,
    outageMode: Mode,
    seed: number,
    bug: InjectedBug,
  ) {
    this.result = runMoney({ seed, calls, outageMode, bug });
  },
);

Then("no guarantee of the ledger is violated", function (this: World) {
  assert.deepEqual(this.result.violations, []);
});

Then(
  "at least {int} effects in 100 calls are counted",
  function (this: World, percent: number) {
    const { calls, effects } = this.result.counts;
    assert.ok(effects * 100 >= calls * percent, `${effects} of ${calls}`);
  },
);

Then("the run finds {string}", function (this: World, name: string) {
  const found = this.result.violations.map((violation) => violation.name);
  assert.ok(found.includes(name), `found ${[...new Set(found)]}`);
});
