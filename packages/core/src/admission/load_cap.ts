import { AppError, assertInvariant } from "../results/mod.ts";
import type { AdmissionSettings, MeanLoad } from "./types.ts";

const retryAfterMs = 1000;

/**
 * Gets the load in weighted tokens that a runner may carry.
 *
 * A mean that is too low only refuses early, so each doubt is taken off it:
 * the error of the records, and with their age the share above the mean. At
 * `staleAfterMs` a runner carries no more than the mean it last heard of. A
 * runner that is alone in its pool has no cap; one that has lost sight of the
 * others has the minimum.
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

/** Says whether a load may be admitted; an idle runner takes any request. */
export function isUnderCap(
  loadTokens: number,
  options: { costTokens: number; capTokens: number },
): boolean {
  return loadTokens === 0 ||
    loadTokens + options.costTokens <= options.capTokens;
}

/** Asserts at an admission that the load stays under the cap. */
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

/** Creates the refusal of a request that is over the cap. */
export function createCapError(
  loadTokens: number,
  options: { costTokens: number; capTokens: number; mean: MeanLoad },
): AppError {
  const { capTokens, costTokens, mean } = options;
  return AppError.create(
    "overLoadCap",
    `Load ${loadTokens} plus ${costTokens} tokens exceeds ` +
      `${Math.floor(capTokens)}; pool mean ${Math.floor(mean.tokens)}, ` +
      `${Math.round(mean.ageMs)} ms old`,
    { retryAfterMs },
  );
}
