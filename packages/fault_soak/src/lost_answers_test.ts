import { Given } from "@cucumber/cucumber";
import type { CallOutcome, CallRecord } from "./mod.ts";
import {
  addCall,
  addRun,
  createTruncated,
  failed,
  violationMs,
  type World,
} from "./planted_history.ts";

/** Runner that falls silent in its answer and goes on later. */
const runner = "runner-6-0";

/** Time after which a gateway gives up the silent runner. */
const givenUpMs = 1100;

type Loss = { outcome?: CallOutcome; endsAfterMs?: number };

/** Adds a stream that its gateway cuts while its runner is silent. */
function addCutStream(
  world: World,
  { endsAfterMs = givenUpMs, outcome }: Loss = {},
): CallRecord {
  const attemptId = `cut-${world.history.calls.length}`;
  const call = addCall(world, "story", {
    attemptId,
    endedAtMs: violationMs + endsAfterMs,
    outcome: outcome ?? createTruncated(attemptId),
  });
  addRun(world, call, { runner, end: "cut", endedAtMs: violationMs + 1600 });
  return call;
}

const gaveUp: CallOutcome = {
  type: "answered",
  status: 502,
  body: "",
  isComplete: true,
};

/** Adds each loss to a history without one, by step text. */
const losses: Record<string, (world: World) => void> = {
  "a stream that is cut while its runner is silent": (world) => {
    addCutStream(world);
  },
  "a stream whose connection closes while its runner is silent": (world) => {
    addCutStream(world, { outcome: failed });
  },
  "a request that is failed while its runner is silent": (world) => {
    addCutStream(world, { outcome: gaveUp });
  },
  "a silent stream that is cut because another runner refuses": (world) => {
    const { attemptId, sentAtMs } = addCutStream(world);
    world.history.runnerEvents.push({
      type: "arrived",
      atMs: sentAtMs + 1000,
      attemptId,
      runner: "runner-4-0",
      service: "engine",
    });
  },
  "a silent stream that is cut at its time limit": (world) => {
    addCutStream(world, { endsAfterMs: 1500 });
  },
  "a stream that is cut because its runner broke off": (world) => {
    const call = addCutStream(world);
    addRun(world, call, { runner: "runner-4-0", end: "brokenOff" });
  },
  "a stream that is cut because its runner exited": (world) => {
    addCutStream(world);
    world.history.exits.push({ runner, atMs: violationMs + givenUpMs });
  },
};

Given(
  new RegExp(`^(${Object.keys(losses).join("|")})$`),
  function (this: World, loss: string) {
    losses[loss](this);
  },
);
