import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { hash32, type KnownRouters } from "../hashing/mod.ts";
import { loadPrompts } from "../pools/test_support/load_arrivals.ts";
import {
  type CrashArrivalOptions,
  createCrashArrivals,
} from "./test_support/crash_arrivals.ts";
import {
  CrashReplay,
  type CrashReplayOptions,
  type CrashReplayResult,
} from "./test_support/replay_crashes.ts";
import {
  CrashQuarantine,
  type Evidence,
  getReturnMs,
  QuarantineTrials,
} from "./mod.ts";

type World = {
  quarantine: CrashQuarantine | undefined;
  quarantineNowMs: number;
  clearedParts: string[];
  trials: { atMs: number; router: number }[];
  crashReplays: { on: CrashReplayResult; off: CrashReplayResult };
};

const quarantineMs = 300_000;

function getQuarantine(world: World): CrashQuarantine {
  if (world.quarantine === undefined) {
    world.quarantine = CrashQuarantine.create({ quarantineMs });
    world.quarantineNowMs = 1_000_000;
  }
  return world.quarantine;
}

function recordCrashes(
  world: World,
  partIds: string[],
  { request, runners, triedPartIds }: {
    request: string;
    runners: string[];
    triedPartIds?: string[];
  },
): void {
  const quarantine = getQuarantine(world);
  const atMs = world.quarantineNowMs;
  for (const process of runners) {
    quarantine.recordCrash(
      { process, request, partIds, triedPartIds, atMs },
      atMs,
    );
  }
}

Given(
  /^the parts? "(.+)" crash(?:ed|es)? runners "(.+)" under request "([^"]+)"( on trial)?$/,
  function (
    this: World,
    ids: string,
    runners: string,
    request: string,
    onTrial: string | null,
  ) {
    const partIds = ids.split(" ");
    const triedPartIds = onTrial === null ? undefined : partIds;
    const crash = { request, runners: runners.split(" "), triedPartIds };
    recordCrashes(this, partIds, crash);
  },
);

Given(
  "three processes crash under three requests with the part {string}",
  function (this: World, partId: string) {
    for (const id of ["1", "2", "3"]) {
      recordCrashes(this, [partId], { request: `q${id}`, runners: [`r${id}`] });
    }
  },
);

Given(
  /^a request with the part "(.+)" (?:was|is) answered whole$/,
  function (this: World, partId: string) {
    const quarantine = getQuarantine(this);
    this.clearedParts = quarantine.recordAnswer(
      [partId],
      this.quarantineNowMs,
    );
  },
);

When(
  "another router reports a whole answer with the part {string} {int} s ago",
  function (this: World, partId: string, seconds: number) {
    const news = getQuarantine(this).merge(
      { crashes: [], sound: [{ partId, ageMs: seconds * 1000 }] },
      this.quarantineNowMs,
    );
    this.clearedParts = news.clearedParts;
  },
);

When("{int} s pass", function (this: World, seconds: number) {
  this.quarantineNowMs += seconds * 1000;
});

Then(
  "the part {string} is not quarantined",
  function (this: World, partId: string) {
    const found = getQuarantine(this).find([partId], this.quarantineNowMs);
    assert.equal(found, undefined);
  },
);

Then(
  "the part {string} is quarantined for {int} s with {int} processes and {int} requests",
  function (
    this: World,
    partId: string,
    seconds: number,
    processes: number,
    requests: number,
  ) {
    const found = getQuarantine(this).find(
      ["other", partId],
      this.quarantineNowMs,
    );
    const leftMs = seconds * 1000;
    assert.deepEqual(found, { partId, leftMs, processes, requests });
  },
);

Then(
  /^the part "(.+)" is (a|no) suspect$/,
  function (this: World, partId: string, article: string) {
    const suspects = getQuarantine(this).listSuspects(
      [partId],
      this.quarantineNowMs,
    );
    assert.equal(suspects.includes(partId), article === "a");
  },
);

Then(
  "other routers are to be told of {string}",
  function (this: World, partId: string) {
    assert.deepEqual(this.clearedParts, [partId]);
  },
);

Then("other routers are to be told of nothing", function (this: World) {
  assert.deepEqual(this.clearedParts, []);
});

const partIds = ["a", "b", "c"];

const crashArbitrary = fc.record({
  process: fc.constantFrom("r1", "r2", "r3", "r4"),
  request: fc.constantFrom("q1", "q2", "q3", "q4"),
  partIds: fc.subarray(partIds, { minLength: 1 }),
  triedPartIds: fc.subarray(partIds),
  ageMs: fc.integer({ min: 0, max: 200_000 }),
});

const soundArbitrary = fc.record({
  partId: fc.constantFrom(...partIds),
  ageMs: fc.integer({ min: 0, max: 200_000 }),
});

const evidenceArbitrary: fc.Arbitrary<Evidence> = fc.record({
  crashes: fc.array(crashArbitrary, { maxLength: 6 }),
  sound: fc.array(soundArbitrary, { maxLength: 2 }),
});

/** Formats a state without the order in which it was learned. */
function formatState(messages: readonly Evidence[]): string {
  const nowMs = 1_000_000;
  const quarantine = CrashQuarantine.create({ quarantineMs });
  for (const message of messages) quarantine.merge(message, nowMs);
  const { crashes, sound } = quarantine.getEvidence(nowMs);
  const lines = [
    ...crashes.map((crash) => ({
      ...crash,
      partIds: crash.partIds.toSorted(),
      triedPartIds: crash.triedPartIds?.toSorted(),
    })),
    ...sound,
    ...quarantine.listQuarantined(nowMs),
  ].map((item) => JSON.stringify(item));
  return lines.sort().join("\n");
}

Then(
  "{int} random sets of evidence lead to the same state in any order, with seed {int}",
  function (numRuns: number, seed: number) {
    const messages = fc.array(evidenceArbitrary, { maxLength: 5 });
    const property = fc.property(messages, (list) => {
      const expected = formatState(list);
      assert.equal(formatState(list.toReversed()), expected);
      assert.equal(formatState([...list, ...list]), expected);
    });
    fc.assert(property, { seed, numRuns });
  },
);

Then(
  /^a request with the parts "(.+)" is tried in (\d+) s$/,
  function (this: World, ids: string, seconds: string) {
    const nowMs = this.quarantineNowMs;
    const trial = getQuarantine(this).findTrial(ids.split(" "), nowMs);
    assert.equal((trial?.dueMs ?? Infinity) - nowMs, Number(seconds) * 1000);
  },
);

Then(
  "a request with the parts {string} may be tried",
  function (this: World, ids: string) {
    const nowMs = this.quarantineNowMs;
    const trial = getQuarantine(this).findTrial(ids.split(" "), nowMs);
    assert.ok(trial !== undefined && trial.dueMs <= nowMs);
  },
);

Then(
  "a request with the parts {string} is not tried",
  function (this: World, ids: string) {
    const partIds = ids.split(" ");
    const nowMs = this.quarantineNowMs;
    assert.ok(getQuarantine(this).find(partIds, nowMs));
    assert.equal(getQuarantine(this).findTrial(partIds, nowMs), undefined);
  },
);

/** Lists the trials of one part that routers send in a time. */
function listTrials(
  all: readonly KnownRouters[],
  durationMs: number,
): World["trials"] {
  const trials = all.map(() => QuarantineTrials.create());
  const trial = { partIds: ["part"], lastPartId: "part", dueMs: firstTrialMs };
  const sent: World["trials"] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += 10) {
    all.forEach((routers, router) => {
      if (!trials[router].isDue(trial, { nowMs, routers })) return;
      trials[router].recordSend(trial, nowMs);
      sent.push({ atMs: nowMs, router });
    });
  }
  return sent;
}

const firstTrialMs = 2000;

When(
  "{int} routers get requests with a quarantined part for {int} s",
  function (this: World, count: number, seconds: number) {
    const hashes = Array.from({ length: count }, (_, i) => hash32(`r${i}`));
    const all = hashes.map((selfHash, index) => ({
      selfHash,
      otherHashes: hashes.toSpliced(index, 1),
    }));
    this.trials = listTrials(all, seconds * 1000);
  },
);

When(
  "a router that does not know the others gets requests for {int} s",
  function (this: World, seconds: number) {
    const alone = { selfHash: hash32("r0"), otherHashes: undefined };
    this.trials = listTrials([alone], seconds * 1000);
  },
);

Then(
  "{int} of them try {int}, the first after {int} s, {int} s apart or more",
  function (
    this: World,
    routers: number,
    count: number,
    firstS: number,
    apartS: number,
  ) {
    const { trials } = this;
    assert.equal(trials.length, count);
    assert.equal(new Set(trials.map(({ router }) => router)).size, routers);
    trials.forEach(({ atMs }, index) => {
      const earliestMs = index === 0
        ? firstS * 1000
        : trials[index - 1].atMs + apartS * 1000;
      assert.ok(atMs >= earliestMs, `trial ${index} after ${atMs} ms`);
    });
  },
);

Then(
  "callers refused {int} s after a trial was due come back in {float} to {float} s",
  function (this: World, seconds: number, least: number, most: number) {
    const trial = { partIds: ["part"], lastPartId: "part", dueMs: 100_000 };
    const nowMs = trial.dueMs + seconds * 1000;
    const returns = [0, 1].map((random) =>
      getReturnMs(trial, { nowMs, random }) / 1000
    );
    assert.deepEqual(returns, [least, most]);
  },
);

When(
  "{int} processes crash under one request each",
  function (this: World, count: number) {
    for (let index = 0; index < count; index++) {
      const request = `q${index}`;
      recordCrashes(this, [`part-${index}`], {
        request,
        runners: [`r${index}`],
      });
    }
  },
);

When(
  "one process crashes under {int} requests",
  function (this: World, count: number) {
    for (let index = 0; index < count; index++) {
      recordCrashes(this, ["p"], {
        request: `many-${index}`,
        runners: ["one"],
      });
    }
  },
);

Then(
  "at most {int} crashes are kept",
  function (this: World, limit: number) {
    const { crashes } = getQuarantine(this).getEvidence(this.quarantineNowMs);
    assert.equal(crashes.length, limit);
  },
);

Then(
  "at most {int} of its crashes are kept",
  function (this: World, limit: number) {
    const { crashes } = getQuarantine(this).getEvidence(this.quarantineNowMs);
    const own = crashes.filter(({ process }) => process === "one");
    assert.equal(own.length, limit);
  },
);

const crashingPart = "bad";

function replayBoth(
  kind: Pick<CrashArrivalOptions, "fromMs" | "period">,
  changes: Pick<CrashReplayOptions, "crashesAtOnce" | "otherCrashesAtMs">,
): World["crashReplays"] {
  const arrivals = createCrashArrivals(loadPrompts("steady_chats"), {
    repetitions: 7,
    crashingPart,
    ...kind,
  });
  const common = {
    arrivals,
    gatewayCount: 5,
    runnerCount: 13,
    seed: 7,
    crashingPart,
    ...changes,
  };
  return {
    on: CrashReplay.run({ ...common, isOn: true }),
    off: CrashReplay.run({ ...common, isOn: false }),
  };
}

When(
  "prompts are replayed of which some crash runners from {int} s on",
  function (this: World, seconds: number) {
    this.crashReplays = replayBoth(
      { fromMs: seconds * 1000, period: 12 },
      { otherCrashesAtMs: [], crashesAtOnce: 0 },
    );
  },
);

When(
  "the recorded prompts are replayed while 5 of 13 runners crash at once, three times",
  function (this: World) {
    const otherCrashesAtMs = [4000, 20_000, 40_000];
    this.crashReplays = replayBoth(
      { fromMs: 0, period: 0 },
      { otherCrashesAtMs, crashesAtOnce: 5 },
    );
  },
);

When(
  "the recorded prompts are replayed while all 13 runners crash at {int} ms",
  function (this: World, atMs: number) {
    this.crashReplays = replayBoth(
      { fromMs: 0, period: 0 },
      { otherCrashesAtMs: [atMs], crashesAtOnce: 13 },
    );
  },
);

When(
  "prompts are replayed of which some crash runners, while all 13 crash at {int} ms",
  function (this: World, atMs: number) {
    this.crashReplays = replayBoth(
      { fromMs: 0, period: 4 },
      { otherCrashesAtMs: [atMs], crashesAtOnce: 13 },
    );
  },
);

/** Counts the crashing requests that were sent some time after the fifth crash. */
function countLate(
  { crashedAtMs, crashingSentAtMs }: CrashReplayResult,
  delayMs: number,
): number {
  const fifthMs = crashedAtMs[4] ?? Infinity;
  return crashingSentAtMs.filter((atMs) => atMs > fifthMs + delayMs).length;
}

Then(
  "without it over {int} such requests reach runners after the fifth crash",
  function (this: World, limit: number) {
    assert.ok(countLate(this.crashReplays.off, 0) > limit);
  },
);

Then(
  "with it at most {int} do, from {int} s after the fifth crash on",
  function (this: World, limit: number, seconds: number) {
    assert.ok(countLate(this.crashReplays.on, seconds * 1000) <= limit);
  },
);

Then("it refuses no sound request", function (this: World) {
  assert.deepEqual(this.crashReplays.on.soundRefusedAtMs, []);
});

Then(
  "it refuses sound requests in the first {int} s only",
  function (this: World, seconds: number) {
    const { soundRefusedAtMs } = this.crashReplays.on;
    assert.ok(soundRefusedAtMs.every((atMs) => atMs < seconds * 1000));
  },
);

Then("more sound requests are answered than without it", function (
  this: World,
) {
  const { off, on } = this.crashReplays;
  assert.ok(on.soundAnswered > off.soundAnswered);
});
