import { hash64 } from "@jasminetide/core/hashing";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { getWeightedTokens } from "@jasminetide/core/routing";
import {
  type Scenario,
  surgeDurationMs,
  surgeFactor,
  surgeStartMs,
  surgingWorkspace,
} from "./scenario.ts";

/** One turn of one chat. */
export type Turn = {
  atMs: number;
  key: bigint;
  workspace: number;
  /** 0 is the first turn of its chat. */
  index: number;
  /** Tokens of the workspace's system prompt; `promptTokens` includes them. */
  systemTokens: number;
  promptTokens: number;
  answerTokens: number;
  /** Estimate of the answer tokens before the turn runs. */
  expectedAnswerTokens: number;
  /** Cost that routers and sidecars add to the load. */
  costTokens: number;
  /** Index of the router that the load balancer chose. */
  router: number;
  /** Whether the turn may be held back until `deadlineAtMs`. */
  isDeferrable: boolean;
  deadlineAtMs: number;
};

const systemTokens = 800;
const userTokens = { smallest: 20, mean: 80 };
const answerTokens = { smallest: 40, mean: 360 };
/** Prompts of deferrable summaries, such as of a shift or a tour. */
const deferrableUserTokens = { smallest: 1000, mean: 4000 };
const deferrableAnswerTokens = { smallest: 400, mean: 1200 };
/** Median pause between two turns; 1 % of the pauses exceed 40 times that. */
const pauseMedianMs = 30_000;
const pauseSigma = 1.6;
/** Probability that a turn is the last of its chat. */
const endShare = 0.14;
/** Share of the chats that are deferrable. */
const deferrableShare = 0.12;
const deferrableDeadlineMs = 600_000;
const deadlineMs = 60_000;
/** Relative traffic of each workspace, the largest first. */
const workspaceShares = [40, 20, 12, 8, 6, 5, 4, 3, 1.5, 0.5];

/** Creates the traffic of a scenario in order of time. */
export function createTraffic(scenario: Scenario): Turn[] {
  const random = createSeededRandom(scenario.seed);
  const endMs = scenario.warmUpMs + scenario.durationMs;
  const turns: Turn[] = [];
  let atMs = 0;
  let count = 0;
  while (atMs < endMs) {
    const rate = getRate(atMs, scenario) / 1000;
    atMs += -Math.log(1 - random.getFloat()) / rate;
    const workspace = chooseWorkspace(atMs, { scenario, random });
    appendChat(turns, {
      scenario,
      random,
      startMs: atMs,
      workspace,
      key: hash64(`chat ${scenario.seed} ${count++}`),
    });
  }
  return turns.filter((turn) => turn.atMs < endMs)
    .sort((left, right) => left.atMs - right.atMs);
}

/** Returns whether a time of the run is in the surge. */
export function isSurge(atMs: number, scenario: Scenario): boolean {
  const sinceMs = atMs - scenario.warmUpMs - surgeStartMs;
  return scenario.hasSurge && sinceMs >= 0 && sinceMs < surgeDurationMs;
}

type ChatOptions = {
  scenario: Scenario;
  random: RandomSource;
  startMs: number;
  workspace: number;
  key: bigint;
};

function appendChat(turns: Turn[], options: ChatOptions): void {
  const { random, scenario } = options;
  const isDeferrable = random.getFloat() < deferrableShare;
  const expected = isDeferrable ? deferrableAnswerTokens : answerTokens;
  let promptTokens = systemTokens;
  let atMs = options.startMs;
  let index = 0;
  do {
    promptTokens += drawTokens(
      isDeferrable ? deferrableUserTokens : userTokens,
      random,
    );
    const answer = drawTokens(expected, random);
    turns.push({
      atMs,
      key: options.key,
      workspace: options.workspace,
      index,
      systemTokens,
      promptTokens,
      answerTokens: answer,
      expectedAnswerTokens: expected.mean,
      costTokens: getWeightedTokens({
        promptTokens,
        answerTokens: expected.mean,
      }),
      router: random.getInteger(scenario.routers),
      isDeferrable,
      deadlineAtMs: atMs + (isDeferrable ? deferrableDeadlineMs : deadlineMs),
    });
    promptTokens += answer;
    index += 1;
    atMs += answer * 30 + pauseMedianMs * Math.exp(
          pauseSigma * drawNormal(random),
        );
  } while (!isDeferrable && random.getFloat() > endShare);
}

function getRate(atMs: number, scenario: Scenario): number {
  const share = workspaceShares[surgingWorkspace] / getTotalShare();
  const factor = isSurge(atMs, scenario) ? 1 + share * (surgeFactor - 1) : 1;
  return scenario.chatsPerSecond * factor;
}

function chooseWorkspace(
  atMs: number,
  options: { scenario: Scenario; random: RandomSource },
): number {
  const isSurging = isSurge(atMs, options.scenario);
  const shares = workspaceShares.map((share, index) =>
    isSurging && index === surgingWorkspace ? share * surgeFactor : share
  );
  const total = shares.reduce((sum, share) => sum + share, 0);
  let left = options.random.getFloat() * total;
  const found = shares.findIndex((share) => (left -= share) < 0);
  return Math.max(0, found) % options.scenario.workspaces;
}

function getTotalShare(): number {
  return workspaceShares.reduce((sum, share) => sum + share, 0);
}

function drawTokens(
  size: { smallest: number; mean: number },
  random: RandomSource,
): number {
  const excess = -Math.log(1 - random.getFloat()) *
    (size.mean - size.smallest);
  return Math.round(size.smallest + excess);
}

/** Standard normal variate (Box and Muller, 1958). */
function drawNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.getFloat()));
  return radius * Math.cos(2 * Math.PI * random.getFloat());
}
