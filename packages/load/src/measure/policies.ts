import {
  chooseChatRunner,
  chooseLessLoaded,
  PoolView,
  rankRunners,
} from "@jasminetide/core/routing";
import type { RandomSource } from "@jasminetide/core/random";
import type { RunnerId } from "@jasminetide/core/tables";
import { loadBounds } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** Names of the measured policies. */
export const policyNames = [
  "round-robin",
  "least-of-two",
  "rendezvous",
  "ours",
  "all-knowing",
] as const;

/** Name of a measured policy. */
export type PolicyName = typeof policyNames[number];

/** Mechanisms of the product that can be turned off. */
export type Mechanisms = {
  spillHints: boolean;
  boundedLoad: boolean;
  rampUp: boolean;
  holdDown: boolean;
  kvTransfer: boolean;
  peakHoldBack: boolean;
};

/** Names of the mechanisms on the command line. */
export const mechanismNames = {
  "spill-hints": "spillHints",
  "bounded-load": "boundedLoad",
  "ramp-up": "rampUp",
  "hold-down": "holdDown",
  "kv-transfer": "kvTransfer",
  "peak-hold-back": "peakHoldBack",
} as const satisfies Record<string, keyof Mechanisms>;

/** Name of a mechanism on the command line. */
export type MechanismName = keyof typeof mechanismNames;

/** Gets the mechanisms that a policy uses. */
export function getMechanisms(
  policy: PolicyName,
  without?: MechanismName,
): Mechanisms {
  const isOurs = policy === "ours";
  const mechanisms: Mechanisms = {
    spillHints: isOurs,
    boundedLoad: isOurs,
    rampUp: isOurs,
    holdDown: isOurs,
    kvTransfer: isOurs || policy === "all-knowing",
    peakHoldBack: isOurs,
  };
  if (isOurs && without !== undefined) {
    mechanisms[mechanismNames[without]] = false;
  }
  return mechanisms;
}

/** Input of a policy. */
export type ChoiceInput = {
  turn: Turn;
  pool: PoolView;
  nowMs: number;
  /** Runners that have refused the turn. */
  tried: ReadonlySet<RunnerId>;
  /** Runner that a refusal or redirection named as the holder of the chat. */
  holder: RunnerId | undefined;
  random: RandomSource;
  mechanisms: Mechanisms;
  /** Exact state of the fleet, for the all-knowing policy only. */
  oracle: Oracle;
};

/** Exact state of one runner. */
export type ExactRunnerState = {
  id: RunnerId;
  loadTokens: number;
  cachedTokens: number;
};

/** Gets the exact state of all active runners. */
export type Oracle = (turn: Turn) => ExactRunnerState[];

/** The chosen runner and, if known, the runner that holds the cache. */
export type Choice = { runner: RunnerId; source?: RunnerId };

/** Chooses a runner by a policy. */
export function choosePolicyRunner(
  policy: PolicyName,
  input: ChoiceInput,
): Choice | undefined {
  switch (policy) {
    case "round-robin":
      return chooseRoundRobin(input);
    case "least-of-two":
      return createChoice(
        chooseLessLoaded(listUntriedRunners(input), input.random),
      );
    case "rendezvous":
      return createChoice(
        rankRunners(input.turn.key, listUntriedRunners(input))[0],
      );
    case "ours":
      return createChoice(chooseOurs(input));
    case "all-knowing":
      return chooseAllKnowing(input);
  }
}

function chooseOurs(input: ChoiceInput) {
  const { turn, tried, holder, nowMs, mechanisms } = input;
  const { spillMultiple, minimumTokens } = loadBounds;
  return chooseChatRunner(
    { key: turn.key, costTokens: turn.costTokens, holder, tried },
    input.pool,
    {
      nowMs,
      spillMultiple: mechanisms.boundedLoad ? spillMultiple : Infinity,
      minimumTokens,
    },
  )?.runner;
}

const turnCounts = new WeakMap<PoolView, number>();

function chooseRoundRobin(input: ChoiceInput): Choice | undefined {
  const untried = listUntriedRunners(input);
  const count = (turnCounts.get(input.pool) ?? 0) + 1;
  turnCounts.set(input.pool, count);
  return createChoice(untried[count % Math.max(1, untried.length)]);
}

/** Chooses the holder while it is under the bound, else the least loaded. */
function chooseAllKnowing(input: ChoiceInput): Choice | undefined {
  const { turn } = input;
  const runners = input.oracle(turn).filter(({ id }) => !input.tried.has(id));
  if (runners.length === 0) return undefined;
  const total = runners.reduce((sum, runner) => sum + runner.loadTokens, 0);
  const boundTokens = Math.max(
    loadBounds.minimumTokens,
    loadBounds.allKnowingMultiple * total / runners.length,
  );
  const holder = runners.reduce((best, runner) =>
    runner.cachedTokens > best.cachedTokens ? runner : best
  );
  const isUnderBound = holder.loadTokens + turn.costTokens <= boundTokens;
  if (turn.index > 0 && isUnderBound) return { runner: holder.id };
  const least = runners.reduce((best, runner) =>
    runner.loadTokens < best.loadTokens ? runner : best
  );
  return { runner: least.id, source: holder.id };
}

function listUntriedRunners(input: ChoiceInput) {
  return input.pool.getCandidates(input.nowMs)
    .filter((runner) => !input.tried.has(runner.id));
}

function createChoice(
  runner: { id: RunnerId } | undefined,
): Choice | undefined {
  return runner === undefined ? undefined : { runner: runner.id };
}
