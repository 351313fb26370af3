import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { measureEngineChoice } from "./engine_choice_bench.ts";
import type { PolicyFigures } from "./collector.ts";
import {
  type MechanismName,
  type PolicyName,
  policyNames,
} from "./policies.ts";
import type { FiguresByPolicy } from "./report.ts";
import { runExperiment } from "./run_experiment.ts";
import { defaultScenario } from "./scenario.ts";

type World = { runs: PolicyFigures[]; figures: FiguresByPolicy };

function getFigures(
  policy: PolicyName,
  options: { seed: number; minutes: number; without?: MechanismName },
): PolicyFigures {
  return runExperiment({
    ...defaultScenario,
    seed: options.seed,
    warmUpMs: 120_000,
    durationMs: options.minutes * 60_000,
  }, { policy, without: options.without }).figures;
}

When(
  "{string} is measured twice with seed {int} for {int} minutes",
  function (this: World, policy: PolicyName, seed: number, minutes: number) {
    this.runs = [1, 2].map(() => getFigures(policy, { seed, minutes }));
  },
);

When(
  "{string} is measured with and without {string} with seed {int} for {int} minutes",
  function (
    this: World,
    policy: PolicyName,
    without: MechanismName,
    seed: number,
    minutes: number,
  ) {
    this.runs = [
      getFigures(policy, { seed, minutes }),
      getFigures(policy, { seed, minutes, without }),
    ];
  },
);

Then("both runs have the same figures", function (this: World) {
  assert.deepEqual(this.runs[0], this.runs[1]);
});

Then("the figures differ", function (this: World) {
  assert.notDeepEqual(this.runs[0], this.runs[1]);
});

When(
  "every policy is measured with seed {int} for {int} minutes",
  function (this: World, seed: number, minutes: number) {
    this.figures = Object.fromEntries(
      policyNames.map((
        policy,
      ) => [policy, getFigures(policy, { seed, minutes })]),
    );
  },
);

Then(
  "a choice among {int} engines with {int} requests takes less than {int} µs at p50",
  function (runners: number, outstanding: number, boundMicroseconds: number) {
    const figures = measureEngineChoice({ runners, outstanding, seed: 1 });
    const text = JSON.stringify(figures);
    assert.ok(figures.p50Microseconds < boundMicroseconds, text);
  },
);

Then("no policy leaves a request unserved", function (this: World) {
  const rows = Object.values(this.figures);
  assert.deepEqual(rows.map((row) => row.unserved), rows.map(() => 0));
});

Then(
  "{string} reuses more than {string}",
  function (this: World, left: PolicyName, right: PolicyName) {
    assert.ok(this.figures[left].reuse > this.figures[right].reuse);
  },
);

Then(
  "{string} has less skew than {string}",
  function (this: World, left: PolicyName, right: PolicyName) {
    assert.ok(this.figures[left].skewP99 < this.figures[right].skewP99);
  },
);
