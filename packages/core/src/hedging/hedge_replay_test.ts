import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { HedgeRunner } from "./test_support/hedge_runner.ts";
import {
  HedgeReplay,
  type HedgeReplayResult,
} from "./test_support/replay_hedges.ts";
import { findWindowAbove } from "./test_support/find_window_above.ts";

type World = {
  hedgedReplay: { on: HedgeReplayResult; off: HedgeReplayResult };
};

const limits = { maxShare: 0.03, quantile: 0.95, windowMs: 60_000 };

const durationMs = 60_000;

/** Time from which all runners or a failure domain are disturbed. */
const disturbedAtMs = 20_000;

/** How a burst multiplies the rate, and how long it is. */
const burst = { factor: 3.3, durationMs: 4000 };

/** A choice among equal runners is random, so that times differ by a little. */
const tolerance = { share: 0.1, ms: 2, failures: 10 };

type Disturbance = (runners: readonly HedgeRunner[], atMs: number) => void;

const disturbances: Record<string, Disturbance> = {
  "one runner takes 8 times as long": ([runner]) => runner.slowness = 8,
  "one runner is slow for half of each second": ([runner], atMs) =>
    runner.slowness = atMs % 1000 < 500 ? 10 : 1,
  "all runners take 5 times as long": (runners, atMs) => {
    for (const each of runners) each.slowness = atMs < disturbedAtMs ? 1 : 5;
  },
  "a failure domain is lost": (runners, atMs) => {
    for (let index = 0; index < runners.length; index += 3) {
      runners[index].isLost = atMs >= disturbedAtMs;
    }
  },
  "a burst of 3.3 times the requests comes": () => {},
};

When(
  /^(\d+) routers with (\d+) requests a second are replayed with seed (\d+) while (.+)$/,
  function (
    this: World,
    routers: string,
    perSecond: string,
    seed: string,
    name: string,
  ) {
    const disturb = disturbances[name];
    assert.ok(disturb, name);
    const isBurst = (atMs: number) =>
      name.startsWith("a burst") && atMs >= disturbedAtMs &&
      atMs < disturbedAtMs + burst.durationMs;
    const options = {
      seed: Number(seed),
      routers: Number(routers),
      getRate: (atMs: number) =>
        Number(perSecond) * (isBurst(atMs) ? burst.factor : 1),
      disturb,
      durationMs,
    };
    this.hedgedReplay = {
      on: HedgeReplay.run({ ...options, limits }),
      off: HedgeReplay.run({ ...options, limits: undefined }),
    };
  },
);

function getQuantileMs(timesMs: readonly number[], quantile: number): number {
  const sorted = timesMs.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length * quantile)];
}

Then(
  "the p99 of lookups is lower by a third at least",
  function (this: World) {
    const on = getQuantileMs(this.hedgedReplay.on.lookupMs, 0.99);
    const off = getQuantileMs(this.hedgedReplay.off.lookupMs, 0.99);
    assert.ok(on <= off * 2 / 3, `${on} and ${off} ms`);
  },
);

Then(
  "hedges are at most {float} of the requests in every window",
  function (this: World, maxShare: number) {
    const { hedgeTimesMs, requestTimesMs } = this.hedgedReplay.on;
    const { windowMs } = limits;
    const above = findWindowAbove(hedgeTimesMs, requestTimesMs, {
      maxShare,
      windowMs,
    });
    assert.equal(above, undefined);
  },
);

Then(
  "no kind of request is slower or fails more often",
  function (this: World) {
    const { off, on } = this.hedgedReplay;
    for (const kind of ["lookupMs", "bookingMs"] as const) {
      for (const quantile of [0.5, 0.99]) {
        const onMs = getQuantileMs(on[kind], quantile);
        const offMs = getQuantileMs(off[kind], quantile);
        const text = `${kind} ${quantile}: ${onMs} and ${offMs} ms`;
        assert.ok(onMs <= offMs * (1 + tolerance.share) + tolerance.ms, text);
      }
    }
    const maxFailed = off.failed * (1 + tolerance.share) + tolerance.failures;
    assert.ok(on.failed <= maxFailed, `${on.failed} and ${off.failed} failed`);
  },
);
