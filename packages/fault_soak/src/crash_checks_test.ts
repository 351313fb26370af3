import { Given } from "@cucumber/cucumber";
import { type CallRecord, crashingPart, type FaultKind } from "./mod.ts";
import {
  addCall,
  addRun,
  createTruncated,
  violationMs,
  type World,
} from "./planted_history.ts";

/** Time of the fifth crash. */
const fifthCrashMs = violationMs;

const crashPeriodMs = 500;

/** Number of sound requests before and after the crashes. */
const sampleSize = 20;

const crashingStartMs = fifthCrashMs - 5 * crashPeriodMs;
const crashingEndMs = fifthCrashMs + 12_000;

let partCount = 0;

/** Ids of a prompt that contains the crashing part, unlike any other. */
function createPartIds(): string[] {
  partCount += 1;
  return [`first-${partCount}`, crashingPart.id, `own-${partCount}`];
}

function addCrashingCall(world: World, sentAtMs: number): CallRecord {
  const attemptId = `crashing-${partCount}`;
  return addCall(world, "story", {
    attemptId,
    sentAtMs,
    partIds: createPartIds(),
    outcome: createTruncated(attemptId),
  });
}

Given(
  "five runners that crashed under one part of a prompt",
  function (this: World) {
    for (let index = 0; index < 5; index++) {
      const atMs = fifthCrashMs - (4 - index) * crashPeriodMs;
      const call = addCrashingCall(this, atMs - 100);
      const runner = `runner-5-${index}`;
      addRun(this, call, { runner, end: "crashed", endedAtMs: atMs });
      this.history.exits.push({ runner, atMs });
    }
    this.history.faults.push({
      kind: "prompt-crashing",
      target: 0,
      startMs: crashingStartMs,
      endMs: crashingEndMs,
    });
    // Such requests go on, and are refused.
    addCall(this, "story", {
      sentAtMs: crashingEndMs - 100,
      partIds: createPartIds(),
      outcome: { type: "answered", status: 503, body: "", isComplete: true },
    });
  },
);

Given(
  /^(\d+) requests with that part that reach (two )?runners (?:each, )?(\d+) ms after the fifth crash$/,
  function (this: World, requests: string, two: string | null, ms: string) {
    const runners = two === null
      ? ["runner-3-0"]
      : ["runner-3-0", "runner-3-1"];
    for (let count = 0; count < Number(requests); count++) {
      const call = addCrashingCall(this, fifthCrashMs + Number(ms) - 5);
      for (const runner of runners) addRun(this, call, { runner, end: "cut" });
      this.history.exits.push({ runner: runners[0], atMs: call.endedAtMs });
    }
  },
);

Given(
  "the fault {string} {int} ms after the fifth crash",
  function (this: World, kind: FaultKind, delayMs: number) {
    const startMs = fifthCrashMs + delayMs;
    const endMs = startMs + 100;
    this.history.faults.push({ kind, target: 0, startMs, endMs });
  },
);

Given(
  "one more runner that crashes under it {int} ms after the fifth crash",
  function (this: World, delayMs: number) {
    const atMs = fifthCrashMs + delayMs;
    const call = addCrashingCall(this, atMs - 100);
    const runner = "runner-5-5";
    addRun(this, call, { runner, end: "crashed", endedAtMs: atMs });
    this.history.exits.push({ runner, atMs });
  },
);

/** Adds a call of the request that crashes runners, and its run. */
function addCrashingRun(
  world: World,
  atMs: number,
  run: Parameters<typeof addRun>[2],
): void {
  const sentAtMs = atMs - 5;
  const outcome = { type: "failed", reason: "a crash" } as const;
  const call = addCall(world, "lookup", { sentAtMs, crashes: true, outcome });
  addRun(world, call, run);
  world.history.exits.push({ runner: String(run?.runner), atMs });
}

Given(
  "three runners that crashed under one request",
  function (this: World) {
    for (let index = 0; index < 3; index++) {
      const atMs = violationMs - (2 - index) * crashPeriodMs;
      const runner = `runner-5-${index}`;
      addCrashingRun(this, atMs, { runner, end: "crashed", endedAtMs: atMs });
    }
  },
);

Given(
  "that request reaches runners {int} more times, {int} ms after the third crash",
  function (this: World, count: number, delayMs: number) {
    for (let index = 0; index < count; index++) {
      const runner = `runner-3-${index}`;
      addCrashingRun(this, violationMs + delayMs, { runner, end: "cut" });
    }
  },
);

/** Adds sound calls of which a share is served at the first attempt. */
function addSoundCalls(
  world: World,
  { percent, sentAtMs }: { percent: number; sentAtMs: number },
): void {
  for (let index = 0; index < sampleSize; index++) {
    const partIds = ["first-1", "second", `own-${partCount++}`];
    const call = addCall(world, "story", { sentAtMs, partIds });
    addRun(world, call);
    const isFirst = index < sampleSize * percent / 100;
    if (!isFirst) addRun(world, call, { runner: "runner-2-0" });
  }
}

Given(
  "sound requests of which {int} % begin at first attempt before and {int} % after {int} ms",
  function (this: World, before: number, after: number, delayMs: number) {
    addSoundCalls(this, { percent: before, sentAtMs: crashingStartMs - 3000 });
    const sentAtMs = fifthCrashMs + delayMs;
    addSoundCalls(this, { percent: after, sentAtMs });
  },
);
