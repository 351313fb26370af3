/** Input of the bound on a runner's load. */
export type LoadBoundInput = {
  /** Mean load of the pool for a capacity of 1, in weighted tokens. */
  meanTokens: number;
  /** Multiple of the mean load that a runner may reach. */
  multiple: number;
  /** Lower limit of the bound, for a capacity of 1. */
  minimumTokens: number;
  /** Capacity that the runner offers now, reduced during its ramp-up. */
  capacity: number;
};

/** Gets the highest load that a runner may reach, in weighted tokens. */
export function getLoadBoundTokens(input: LoadBoundInput): number {
  const perCapacity = Math.max(
    input.minimumTokens,
    input.multiple * input.meanTokens,
  );
  return perCapacity * input.capacity;
}

/** Cost of a prompt token relative to that of an answer token. */
const promptTokenWeight = 0.1;

/**
 * Gets the cost of a request in weighted tokens. An answer token occupies a
 * slot in the engine's batch for a whole step, whereas one step processes
 * hundreds of prompt tokens.
 */
export function getWeightedTokens(
  request: { promptTokens: number; answerTokens: number },
): number {
  return Math.ceil(
    request.promptTokens * promptTokenWeight + request.answerTokens,
  );
}

/** Times from which the ramp-up of a runner is computed. */
export type RampOptions = {
  joinedAtMs: number;
  nowMs: number;
  rampUpMs: number;
};

/** Share of its capacity that a runner offers at the time it joins. */
const initialRampShare = 0.25;

/**
 * Gets the share of its capacity that a joining runner offers, which rises
 * linearly to 1 over the ramp-up time.
 */
export function getRampShare(options: RampOptions): number {
  if (options.rampUpMs === 0) return 1;
  const progress = (options.nowMs - options.joinedAtMs) / options.rampUpMs;
  if (progress >= 1) return 1;
  return initialRampShare + (1 - initialRampShare) * Math.max(0, progress);
}
