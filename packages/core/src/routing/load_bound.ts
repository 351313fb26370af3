/** What bounds a runner's load. */
export type LoadBoundInput = {
  /** Mean load of the pool for a capacity of 1, in weighted tokens. */
  meanTokens: number;
  /** Multiple of the mean that the bound stands for. */
  multiple: number;
  /** Load below which the bound never refuses, for a capacity of 1. */
  minimumTokens: number;
  /** Capacity of the runner, after any ramp-up. */
  capacity: number;
};

/** Gets the load in weighted tokens that a runner may reach. */
export function getLoadBoundTokens(input: LoadBoundInput): number {
  const perCapacity = Math.max(
    input.minimumTokens,
    input.multiple * input.meanTokens,
  );
  return perCapacity * input.capacity;
}

/** Work of a prompt token relative to that of an answer token. */
const promptTokenWeight = 0.1;

/**
 * Gets the weighted tokens of a request. An answer token holds a place in the
 * engine's batch for one step, whereas prompt tokens are processed by hundreds
 * in one.
 */
export function getWeightedTokens(
  request: { promptTokens: number; answerTokens: number },
): number {
  return Math.ceil(
    request.promptTokens * promptTokenWeight + request.answerTokens,
  );
}

/** Time course of the share of its capacity that a joining runner offers. */
export type RampOptions = {
  joinedAtMs: number;
  nowMs: number;
  rampUpMs: number;
};

/** Share of its capacity that a runner offers as it joins. */
const initialRampShare = 0.25;

/** Gets the share of its capacity that a joining runner offers. */
export function getRampShare(options: RampOptions): number {
  if (options.rampUpMs === 0) return 1;
  const progress = (options.nowMs - options.joinedAtMs) / options.rampUpMs;
  if (progress >= 1) return 1;
  return initialRampShare + (1 - initialRampShare) * Math.max(0, progress);
}
