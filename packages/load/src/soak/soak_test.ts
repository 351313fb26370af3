import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  cycleEpisodes,
  type EpisodeOptions,
  formatSoakReport,
  runSoak,
  type SoakReport,
} from "./mod.ts";

type World = {
  mayRepeat: EpisodeOptions["mayRepeat"];
  soak: SoakReport;
};

/** A run takes as long as the machine needs. */
const unlimited = { timeout: -1 };

Given(
  "routers that repeat money calls whatever became of them",
  function (this: World) {
    this.mayRepeat = () => true;
  },
);

When(
  "a whole cycle of episodes is run with seed {int}",
  unlimited,
  async function (this: World, seed: number) {
    const { mayRepeat } = this;
    this.soak = await runSoak({ seed, minutes: cycleEpisodes, mayRepeat });
  },
);

Then(
  "every fault and every pair of faults was active",
  function (this: World) {
    const { coverage } = this.soak;
    assert.deepEqual(coverage.listMissingPairs(), []);
    assert.ok(coverage.listKinds().every(([, count]) => count > 0));
  },
);

Then("no episode has failed", function (this: World) {
  assert.deepEqual(this.soak.failures, [], formatSoakReport(this.soak));
});

Then(
  "an episode has failed by {string} with at most {int} faults",
  function (this: World, check: string, limit: number) {
    const [failure] = this.soak.failures;
    assert.ok(failure.violations.some((entry) => entry.startsWith(check)));
    assert.ok(failure.faults.length <= limit, JSON.stringify(failure.faults));
  },
);

Then(
  "it fails alike when it is replayed",
  unlimited,
  async function (this: World) {
    const { failures: [failure], seed } = this.soak;
    const { mayRepeat } = this;
    const firstEpisode = failure.episode;
    const again = await runSoak({ seed, minutes: 1, firstEpisode, mayRepeat });
    assert.deepEqual(again.failures, [failure]);
  },
);
