import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { PolicyFigures } from "./collector.ts";
import type { MechanismName, PolicyName } from "./policies.ts";
import { runExperiment } from "./run_experiment.ts";
import { defaultScenario } from "./scenario.ts";

type World = {
  ours: PolicyFigures;
  allKnowing: PolicyFigures;
  withoutHold: PolicyFigures;
};

const timeout = 120_000;

function measure(
  policy: PolicyName,
  options: { seed: number; without?: MechanismName },
): PolicyFigures {
  const { seed, without } = options;
  const scenario = { ...defaultScenario, seed };
  return runExperiment(scenario, { policy, without }).figures;
}

When(
  '"ours" and "all-knowing" are measured in full with seed {int}',
  { timeout },
  function (this: World, seed: number) {
    this.ours = measure("ours", { seed });
    this.allKnowing = measure("all-knowing", { seed });
  },
);

When(
  '"ours" is measured in full with seed {int}',
  { timeout },
  function (this: World, seed: number) {
    this.ours = measure("ours", { seed });
  },
);

When(
  '"ours" is measured in full with seed {int} with and without holding back',
  { timeout },
  function (this: World, seed: number) {
    this.ours = measure("ours", { seed });
    this.withoutHold = measure("ours", { seed, without: "peak-hold-back" });
  },
);

Then(
  '"ours" reuses at least {float} of what "all-knowing" reuses',
  function (this: World, share: number) {
    assert.ok(this.ours.reuse >= share * this.allKnowing.reuse);
  },
);

Then(
  'the skew of "ours" is at most {float} at p99',
  function (this: World, bound: number) {
    assert.ok(this.ours.skewP99 <= bound, String(this.ours.skewP99));
  },
);

Then('no request of "ours" is left unserved', function (this: World) {
  assert.equal(this.ours.unserved, 0);
});

Then('no admission of "ours" went over the cap', function (this: World) {
  assert.equal(this.ours.capViolations, 0);
});

Then(
  "the busiest minute is at least {int} % lower and no deadline was missed",
  function (this: World, percent: number) {
    const bound = this.withoutHold.busiestMinuteTokens * (1 - percent / 100);
    assert.ok(
      this.ours.busiestMinuteTokens <= bound,
      `${this.ours.busiestMinuteTokens} against ` +
        `${this.withoutHold.busiestMinuteTokens}`,
    );
    assert.equal(this.ours.missedDeadlines, 0);
  },
);
