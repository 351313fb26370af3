import { AppError, assertInvariant } from "../results/mod.ts";
import type { AdmissionSettings, MeanLoad } from "./types.ts";

/** Retry delay that a refusal at the load cap returns. */
const retryAfterMs = 1000;

/**
 * Gets the maximum load of a runner, in weighted tokens: a multiple of the
 * mean load of its pool.
 *
 * An underestimated mean only causes early refusals, so every uncertainty
 * lowers the cap: the error of the records is subtracted from the mean, and the
 * part of the multiple above 1 shrinks with the age of the oldest record. At
 * an age of `staleAfterMs` the cap is the last received mean. A runner that is
 * alone in its pool has no cap; one whose records of all others are stale has
 * the minimum.
 */
export function getCapTokens(
  mean: MeanLoad,
  options: { settings: AdmissionSettings; capacity: number },
): number {
  const { load, membership } = options.settings;
  if (mean.runners <= 1 && mean.staleRunners === 0) return Infinity;
  const freshness = Math.max(0, 1 - mean.ageMs / membership.staleAfterMs);
  const multiple = 1 + (load.capMultiple - 1) * freshness;
  const meanTokens = mean.runners <= 1
    ? 0
    : Math.max(0, mean.tokens - mean.errorTokens);
  return Math.max(load.minimumTokens, multiple * meanTokens) *
    options.capacity;
}

/**
 * Checks whether a request fits under the load cap; an idle runner accepts any
 * request.
 */
export function isUnderCap(
  loadTokens: number,
  options: { costTokens: number; capTokens: number },
): boolean {
  return loadTokens === 0 ||
    loadTokens + options.costTokens <= options.capTokens;
}

/** Asserts that an admitted request keeps the load within the cap. */
export function assertLoadCap(
  loadTokens: number,
  options: { costTokens: number; capTokens: number },
): void {
  const { capTokens, costTokens } = options;
  assertInvariant(
    isUnderCap(loadTokens, options),
    "load-cap",
    () => `load ${loadTokens} plus ${costTokens}, cap ${capTokens}`,
  );
}

/** Creates the error for a request that would exceed the load cap. */
export function createCapError(
  loadTokens: number,
  options: { costTokens: number; capTokens: number; mean: MeanLoad },
): AppError {
  const { capTokens, costTokens, mean } = options;
  return AppError.create(
    "overLoadCap",
    `Load ${loadTokens} plus ${costTokens} tokens exceeds the cap ` +
      `of ${Math.floor(capTokens)}; pool mean ${Math.floor(mean.tokens)}, ` +
      `${Math.round(mean.ageMs)} ms old`,
    { retryAfterMs },
  );
}
