import type { RandomSource } from "../random/mod.ts";

/** Bounds of the delay before a retry. */
export type BackoffOptions = {
  baseDelayMs: number;
  maximumDelayMs: number;
  random: RandomSource;
};

/**
 * Gets the delay before a retry with full jitter (Brooker, "Exponential
 * Backoff And Jitter", 2015): uniform between 0 and a bound that grows
 * exponentially.
 *
 * @param retryCount number of retries so far; 0 before the first.
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
