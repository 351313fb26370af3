import type { RandomSource } from "../random/mod.ts";

/** Bounds of the delay before a retry. */
export type BackoffOptions = {
  baseDelayMs: number;
  maximumDelayMs: number;
  random: RandomSource;
};

/**
 * Gets the delay before a retry with full jitter (Brooker, "Exponential
 * Backoff And Jitter", 2015): uniform below an exponentially growing bound.
 *
 * @param retryCount 0 before the first retry.
 * @returns milliseconds.
 */
export function getBackoffMs(
  retryCount: number,
  options: BackoffOptions,
): number {
  const boundMs = Math.min(
    options.maximumDelayMs,
    options.baseDelayMs * 2 ** retryCount,
  );
  return options.random.getFloat() * boundMs;
}
