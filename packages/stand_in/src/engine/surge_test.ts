import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { Given, Then } from "@cucumber/cucumber";
import { Admission, type TaskObserver } from "@jasminetide/core/admission";
import { settingsSchema } from "@jasminetide/core/configuration";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { EngineDriver } from "./engine_driver.ts";
import {
  createEngineProfile,
  EngineModel,
  type EngineRequest,
} from "./model/mod.ts";

type World = { run: (seed: number, surge: number) => Promise<SurgeResult> };

type SurgeResult = {
  /** p95 from arrival to first token of the workspaces that do not surge. */
  othersP95Ms: number;
  othersRefused: number;
  surgeServed: number;
};

type Arrival = {
  atMs: number;
  workspace: number;
  chat: number;
  /** Blocks that the chat grows by once it has its answer. */
  growthBlocks: number;
  answerTokens: number;
};

const surgingWorkspace = 0;
/** Time of ordinary traffic before the surge. */
const warmUpMs = 60_000;
const durationMs = 120_000;
const stepMs = 1;
const blockTokens = 16;
const chatsPerWorkspace = 40;
const meanRequestsPerSecond = 20;
const deadlineMs = 20_000;

function getExponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.getFloat()) * mean;
}

function createArrivals(
  random: RandomSource,
  options: { workspace: number; perSecond: number; surge: number },
): Arrival[] {
  const { workspace, perSecond, surge } = options;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const factor = atMs < warmUpMs ? 1 : surge;
    atMs += getExponential(random, 1000 / (perSecond * factor));
    arrivals.push({
      atMs,
      workspace,
      chat: workspace * chatsPerWorkspace +
        random.getInteger(chatsPerWorkspace),
      growthBlocks: 1 + random.getInteger(4),
      answerTokens: 32 + random.getInteger(64),
    });
  }
  return arrivals;
}

/** Chats that return: a prompt begins with the blocks of the turn before. */
class ChatTable {
  readonly #lengths = new Map<number, number>();

  getBlocks(chat: number): number[] {
    const length = this.#lengths.get(chat) ?? 20 + chat * 7 % 40;
    this.#lengths.set(chat, length);
    return Array.from({ length }, (_, index) => chat * 100_000 + index);
  }

  grow({ chat, growthBlocks }: Arrival): void {
    const length = this.#lengths.get(chat) ?? 0;
    this.#lengths.set(chat, length + growthBlocks);
  }
}

function createTraffic(seed: number, surge: number): Arrival[] {
  const weights = Array.from({ length: 10 }, (_, index) => 1 / (index + 1));
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const arrivals = weights.flatMap((weight, workspace) => {
    const perSecond = meanRequestsPerSecond * weight / sum;
    // Each workspace has its own source: a surge leaves the others unchanged.
    const random = createSeededRandom(seed * 1000 + workspace);
    return createArrivals(random, {
      workspace,
      perSecond,
      surge: workspace === surgingWorkspace ? surge : 1,
    });
  });
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

/** A runner behind admission, with what is measured at it. */
type Runner = {
  timers: VirtualTimerService;
  admission: Admission;
  driver: EngineDriver;
  chats: ChatTable;
  firstTokensMs: number[];
  othersRefused: number;
  surgeServed: number;
};

function createRunner(): Runner {
  const timers = VirtualTimerService.create();
  const settings = settingsSchema.parse({});
  const mean = { tokens: 0, ageMs: 0, errorTokens: 0 };
  const model = EngineModel.create({
    profile: createEngineProfile(),
    models: ["m"],
    random: createSeededRandom(1),
  });
  return {
    timers,
    admission: Admission.create({
      getSettings: () => settings,
      capacity: 1,
      getMeanLoad: () => ({ ...mean, runners: 1, staleRunners: 0 }),
      timers,
    }),
    driver: EngineDriver.create(model, timers),
    chats: new ChatTable(),
    firstTokensMs: [],
    othersRefused: 0,
    surgeServed: 0,
  };
}

function isOther({ workspace }: Arrival): boolean {
  return workspace !== surgingWorkspace;
}

/** Runs an admitted request to the end of its answer. */
function generate(
  runner: Runner,
  options: { arrival: Arrival; request: EngineRequest; observer: TaskObserver },
): Promise<void> {
  const { arrival, request, observer } = options;
  return new Promise((resolve) => {
    runner.driver.start(request, (event) => {
      if (event.type === "token") {
        observer.observeTokens(1);
        const isMeasured = isOther(arrival) && arrival.atMs >= warmUpMs;
        if (event.index > 0 || !isMeasured) return;
        runner.firstTokensMs.push(event.atMs - arrival.atMs);
      } else if (event.type === "finished") {
        runner.chats.grow(arrival);
        if (!isOther(arrival)) runner.surgeServed += 1;
        resolve();
      }
    });
  });
}

function serve(runner: Runner, arrival: Arrival, id: string): void {
  const { atMs, workspace, answerTokens } = arrival;
  const promptBlocks = runner.chats.getBlocks(arrival.chat);
  const promptTokens = promptBlocks.length * blockTokens;
  const request = {
    ...{ id, model: "m", priority: 1, answerBlocks: [] },
    ...{ promptBlocks, promptTokens, answerTokens },
  };
  const admitted = runner.admission.run({
    workspace: `w${workspace}`,
    priority: 1,
    weight: 1,
    costTokens: promptTokens + answerTokens,
    deadlineAtMs: atMs + deadlineMs,
  }, (observer) => generate(runner, { arrival, request, observer }));
  admitted.catch((error: unknown) => {
    assert.ok(error instanceof AppError && error.executed === "no");
    if (isOther(arrival)) runner.othersRefused += 1;
  });
}

async function runTraffic(arrivals: Arrival[]): Promise<SurgeResult> {
  const runner = createRunner();
  const { timers, firstTokensMs } = runner;
  let next = 0;
  for (let nowMs = 0; nowMs < durationMs + deadlineMs; nowMs += stepMs) {
    timers.advance(stepMs);
    for (; arrivals[next]?.atMs <= timers.nowMs(); next += 1) {
      serve(runner, arrivals[next], `${next}`);
    }
    await setImmediate();
  }
  firstTokensMs.sort((left, right) => left - right);
  const { othersRefused, surgeServed } = runner;
  const othersP95Ms = firstTokensMs[Math.floor(0.95 * firstTokensMs.length)];
  return { othersP95Ms, othersRefused, surgeServed };
}

Given(
  "an engine behind admission and ten workspaces of uneven size",
  function (this: World) {
    this.run = (seed, surge) => runTraffic(createTraffic(seed, surge));
  },
);

Then(
  "a surge to {int} times moves the others' p95 first token by at most {int} %, seed {int}",
  async function (this: World, surge: number, percent: number, seed: number) {
    const before = await this.run(seed, 1);
    const after = await this.run(seed, surge);
    const ratio = after.othersP95Ms / before.othersP95Ms;
    const detail = JSON.stringify({ before, after, ratio });
    assert.equal(after.othersRefused, 0, detail);
    assert.ok(ratio <= 1 + percent / 100, detail);
  },
);
