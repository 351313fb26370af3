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

/** Parts of the product that can be turned off. */
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

/** Gets the parts of the product that a policy uses. */
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

/** What a policy chooses from. */
export type ChoiceInput = {
  turn: Turn;
  pool: PoolView;
  nowMs: number;
  tried: ReadonlySet<RunnerId>;
  holder: RunnerId | undefined;
  random: RandomSource;
  mechanisms: Mechanisms;
  /** Exact state of the fleet, for the all-knowing policy only. */
  oracle: Oracle;
};

/** The truth about one runner. */
export type RunnerTruth = {
  id: RunnerId;
  loadTokens: number;
  cachedTokens: number;
};

/** Gets the truth about the runners that take work. */
export type Oracle = (turn: Turn) => RunnerTruth[];

/** A runner and, where it is known, the one that holds the cache. */
export type Choice = { runner: RunnerId; source?: RunnerId };

/** Chooses a runner by a policy. */
export function choosePolicyRunner(
  policy: PolicyName,
  input: ChoiceInput,
): Choice | undefined {
  switch (policy) {
    case "round-robin":
      return chooseNext(input);
    case "least-of-two":
      return getChoice(chooseLessLoaded(listOpen(input), input.random));
    case "rendezvous":
      return getChoice(rankRunners(input.turn.key, listOpen(input))[0]);
    case "ours":
      return getChoice(chooseOurs(input));
    case "all-knowing":
      return chooseKnowing(input);
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

function chooseNext(input: ChoiceInput): Choice | undefined {
  const open = listOpen(input);
  const count = (turnCounts.get(input.pool) ?? 0) + 1;
  turnCounts.set(input.pool, count);
  return getChoice(open[count % Math.max(1, open.length)]);
}

/** Goes to the holder while it is under the bound, else to the least loaded. */
function chooseKnowing(input: ChoiceInput): Choice | undefined {
  const { turn } = input;
  const truths = input.oracle(turn).filter(({ id }) => !input.tried.has(id));
  if (truths.length === 0) return undefined;
  const total = truths.reduce((sum, truth) => sum + truth.loadTokens, 0);
  const boundTokens = Math.max(
    loadBounds.minimumTokens,
    loadBounds.knowingMultiple * total / truths.length,
  );
  const holder = truths.reduce((best, truth) =>
    truth.cachedTokens > best.cachedTokens ? truth : best
  );
  const hasRoom = holder.loadTokens + turn.costTokens <= boundTokens;
  if (turn.index > 0 && hasRoom) return { runner: holder.id };
  const least = truths.reduce((best, truth) =>
    truth.loadTokens < best.loadTokens ? truth : best
  );
  return { runner: least.id, source: holder.id };
}

function listOpen(input: ChoiceInput) {
  return input.pool.getCandidates(input.nowMs)
    .filter((runner) => !input.tried.has(runner.id));
}

function getChoice(runner: { id: RunnerId } | undefined): Choice | undefined {
  return runner === undefined ? undefined : { runner: runner.id };
}
