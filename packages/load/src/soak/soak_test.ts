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
  mayRetry: EpisodeOptions["mayRetry"];
  soak: SoakReport;
};

/** No time limit: the duration of a run depends on the machine. */
const unlimited = { timeout: -1 };

Given(
  "routers that retry money calls whatever their outcome",
  function (this: World) {
    this.mayRetry = () => true;
  },
);

When(
  "a full cycle of episodes runs with seed {int}",
  unlimited,
  async function (this: World, seed: number) {
    const { mayRetry } = this;
    this.soak = await runSoak({
      seed,
      minutes: cycleEpisodes,
      mayRetry,
    });
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
  "an episode has violated {string} with at most {int} faults",
  function (this: World, check: string, limit: number) {
    const [failure] = this.soak.failures;
    assert.ok(failure.violations.some((entry) => entry.startsWith(check)));
    assert.ok(failure.faults.length <= limit, JSON.stringify(failure.faults));
  },
);

Then(
  "its replay shows the same failure",
  unlimited,
  async function (this: World) {
    const { failures: [failure], seed } = this.soak;
    const { mayRetry } = this;
    const firstEpisode = failure.episode;
    const replayed = await runSoak({
      seed,
      minutes: 1,
      firstEpisode,
      mayRetry,
    });
    assert.deepEqual(replayed.failures, [failure]);
  },
);
