import type { TimerService } from "../timers/mod.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { TaskObserver } from "./types.ts";

/** What an observer reports to. */
export type TaskObserverOptions = {
  limit: ConcurrencyLimit;
  timers: TimerService;
  getRunning: () => number;
};

/**
 * Tokens over which the time between them is averaged. Readers see the mean; a
 * single step is slow whenever another request's prompt is computed in it.
 */
const averagedTokens = 16;

/** Creates the observer of one task that begins now. */
export function createTaskObserver(options: TaskObserverOptions): TaskObserver {
  const { limit, timers, getRunning } = options;
  const startMs = timers.nowMs();
  let spanStartMs: number | undefined;
  let tokens = 0;
  return {
    observeTokens(count) {
      const nowMs = timers.nowMs();
      if (spanStartMs === undefined) {
        limit.observeFirstToken(nowMs - startMs, getRunning());
        spanStartMs = nowMs;
        return;
      }
      tokens += count;
      if (tokens < averagedTokens) return;
      limit.observeBetweenTokens((nowMs - spanStartMs) / tokens);
      spanStartMs = nowMs;
      tokens = 0;
    },
  };
}
