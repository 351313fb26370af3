import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import {
  callKinds,
  type CallOutcome,
  checkHistory,
  createHistory,
  drawFaults,
  type FaultKind,
  faultKinds,
  formatBody,
  formatEvent,
  formatStream,
} from "./mod.ts";
import {
  addAnswered,
  addCall,
  addRun,
  addUnknown,
  failed,
  getBody,
  limits,
  startMs,
  violationMs,
  type World,
} from "./planted_history.ts";

/** Adds each violation to a history without one, by step text. */
const violations: Record<string, (world: World) => void> = {
  "a whole answer that belongs to another request": (world) => {
    addAnswered(world, "payout", formatBody("another"));
  },
  "a stream that lacks its fifth event": (world) => {
    const call = addCall(world, "story");
    const fifth = formatEvent(call.attemptId, 5);
    const body = getBody(call).replace(fifth, "");
    call.outcome = { type: "answered", status: 200, body, isComplete: true };
  },
  "an unframed stream that ends after its fifth event": (world) => {
    const call = addCall(world, "story");
    const sixth = getBody(call).indexOf("id: 6");
    const body = getBody(call).slice(0, sixth);
    call.outcome = {
      type: "answered",
      status: 200,
      body,
      isComplete: true,
      isUnframed: true,
    };
  },
  "a stream that ends early since its runner exited in an unframed answer": (
    world,
  ) => addEndAtExit(world, { isUnframed: true }),
  "a stream that ends early although its runner exited in a framed answer": (
    world,
  ) => addEndAtExit(world, { isUnframed: false }),
  "a stream that breaks off after another request's event": (world) => {
    const call = addCall(world, "story");
    const body = formatEvent(call.attemptId, 1) + formatEvent("another", 2);
    call.outcome = { type: "answered", status: 200, body, isComplete: false };
  },
  "a stream whose last events are of another version": (world) => {
    const call = addCall(world, "story");
    const [first] = formatStream(call.attemptId).split("id: 6");
    const body = first + formatStream(call.attemptId, 5, "v2");
    call.outcome = { type: "answered", status: 200, body, isComplete: true };
  },
  "a stream that is taken up at another version": (world) => {
    const call = addCall(world, "story", {
      takeUp: {
        afterEvent: 5,
        firstAttemptId: "first",
        softwareVersions: ["v1"],
      },
    });
    const body = formatStream(call.attemptId, 5, "v2");
    call.outcome = { type: "answered", status: 200, body, isComplete: true };
  },
  "a payout that runs at two runners": (world) => {
    const call = addCall(world, "payout");
    addRun(world, call);
    addRun(world, call, { runner: "runner-1-0" });
  },
  "a payout that ran and is answered 503": (world) => {
    const outcome = {
      type: "answered",
      status: 503,
      body: "",
      isComplete: true,
    };
    const call = addCall(world, "payout", { outcome: outcome as CallOutcome });
    addRun(world, call);
  },
  "a summary that runs at two runners": (world) => {
    const call = addCall(world, "summary");
    addRun(world, call);
    addRun(world, call, { runner: "runner-1-0" });
  },
  "twenty lookups that arrive three times within a second": (world) => {
    for (let count = 0; count < 20; count++) {
      const call = addCall(world, "lookup");
      for (const runner of ["runner-0-0", "runner-1-0", "runner-2-0"]) {
        addRun(world, call, { runner });
      }
    }
  },
  "a lookup whose answer comes 600 ms after its limit": (world) => {
    addCall(world, "lookup", { endedAtMs: violationMs + 2100 });
  },
  "a lookup without answer on a connection from a silence before": (world) =>
    addCallAfterSilence(world, violationMs - 500),
  "a lookup without answer on a connection opened after a silence": (world) =>
    addCallAfterSilence(world, violationMs - 50),
  "an added route that is unknown 3100 ms after its version": (world) => {
    world.history.declared.push({ version: 1, atMs: violationMs - 3100 });
    addUnknown(world, violationMs);
  },
  "an added route that was known and is unknown later": (world) => {
    addCall(world, "added", { sentAtMs: violationMs - 1000 });
    addUnknown(world, violationMs);
  },
  "a run at a runner that has drained for 3100 ms": (world) => {
    const drained = { runner: "runner-9-0", atMs: violationMs - 3100 };
    world.history.drained.push(drained);
    const call = addCall(world, "lookup");
    addRun(world, call, { runner: drained.runner });
  },
  "a stream that ends 600 ms after its caller disconnected": (world) => {
    const call = addCall(world, "story", { outcome: { type: "left" } });
    addRun(world, call, { endedAtMs: call.endedAtMs + 600 });
  },
  "a lookup that reaches a runner 600 ms after its caller disconnected": (
    world,
  ) => {
    const call = addCall(world, "lookup", { outcome: { type: "left" } });
    const sentAtMs = call.endedAtMs + 600;
    addRun(world, { ...call, sentAtMs }, { endedAtMs: sentAtMs + 1 });
  },
  "a stream that a planned stop of its gateway cuts": (world) => {
    const call = addCall(world, "summary", { outcome: failed });
    world.history.faults.push({
      kind: "gateway-stopped",
      target: 0,
      startMs: call.sentAtMs + 10,
      endMs: call.sentAtMs + 5000,
    });
  },
  "a call 3100 ms after its runner stated that it leaves": (world) => {
    const isLeaving = true;
    const runner = "runner-8-0";
    const sentAtMs = violationMs - 3200;
    const told = addCall(world, "lookup", { sentAtMs });
    addRun(world, told, { runner, isLeaving });
    const late = addCall(world, "lookup");
    addRun(world, late, { runner, isLeaving });
  },
  "three lookups at a runner that asked for a pause": (world) => {
    const runner = "runner-7-0";
    const sentAtMs = violationMs - 1000;
    const refused = addCall(world, "lookup", { sentAtMs });
    world.history.runnerEvents.push({
      type: "refused",
      atMs: sentAtMs + 5,
      attemptId: refused.attemptId,
      runner,
      service: "desk",
      restsUntilMs: violationMs + 1000,
    });
    for (let count = 0; count < 3; count++) {
      addRun(world, addCall(world, "lookup"), { runner });
    }
  },
  "a lookup that fails long after the last fault": (world) => {
    world.history.settledAtMs = violationMs;
    addCall(world, "lookup", { outcome: failed });
  },
};

/** Adds a stream that ends as complete, but early, when its runner exits. */
function addEndAtExit(world: World, run: { isUnframed: boolean }): void {
  const call = addCall(world, "summary");
  const body = formatEvent(call.attemptId, 1);
  call.outcome = { type: "answered", status: 200, body, isComplete: true };
  addRun(world, call, { ...run, end: "crashed" });
  const exit = { runner: "runner-0-0", atMs: call.endedAtMs };
  world.history.exits.push(exit);
}

/** Adds a lookup that is not answered, and a silence of its link before it. */
function addCallAfterSilence(world: World, connectedAtMs: number): void {
  world.history.faults.push({
    kind: "caller-link-silent",
    target: 0,
    startMs: violationMs - 400,
    endMs: violationMs - 100,
  });
  const endedAtMs = violationMs + 2100;
  addCall(world, "lookup", { connectedAtMs, endedAtMs });
}

Given(
  "callers whose requests of every kind are served",
  function (this: World) {
    this.history = createHistory();
    callKinds.forEach((kind, index) => {
      const sentAtMs = startMs + 1000 * index;
      const call = addCall(this, kind, { gateway: 1, sentAtMs });
      addRun(this, call);
    });
  },
);

Given(
  new RegExp(`^(${Object.keys(violations).join("|")})$`),
  function (this: World, violation: string) {
    violations[violation](this);
  },
);

Given(
  "a fault {string} at that time",
  function (this: World, kind: FaultKind) {
    this.history.faults.push({
      kind,
      target: 0,
      startMs: violationMs - 200,
      endMs: violationMs + 3000,
    });
  },
);

function listViolatedChecks({ history }: World): string[] {
  return checkHistory(history, limits).map(({ check }) => check);
}

Then("there is no violation", function (this: World) {
  assert.deepEqual(checkHistory(this.history, limits), []);
});

Then(
  "{string} is the only violated check",
  function (this: World, check: string) {
    assert.deepEqual([...new Set(listViolatedChecks(this))], [check]);
  },
);

function draw(seed: number) {
  return drawFaults(createSeededRandom(seed), {
    gateways: 3,
    runners: 4,
    hasCrashingPart: true,
    hasStatedLimits: true,
    hasCrashingRequest: true,
    hasPeerFaults: true,
    hasRushes: true,
    hasDomainFaults: true,
  });
}

Then(
  "seed {int} draws the same faults twice and seed {int} others",
  function (seed: number, other: number) {
    assert.deepEqual(draw(seed), draw(seed));
    assert.notDeepEqual(draw(seed), draw(other));
  },
);

Then("{int} seeds draw every kind of fault", function (seeds: number) {
  const drawn = Array.from({ length: seeds }, (_, seed) => draw(seed)).flat();
  const kinds = new Set(drawn.map(({ kind }) => kind));
  assert.deepEqual(faultKinds.filter((kind) => !kinds.has(kind)), []);
});
