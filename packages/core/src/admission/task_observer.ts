import type { TimerService } from "../timers/mod.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { TaskObserver } from "./types.ts";

/** What an observer reports to. */
export type TaskObserverOptions = {
  limit: ConcurrencyLimit;
  timers: TimerService;
  getRunning: () => number;
};

/** Creates the observer of one task that begins now. */
export function createTaskObserver(options: TaskObserverOptions): TaskObserver {
  const { limit, timers, getRunning } = options;
  const startMs = timers.nowMs();
  let previousMs: number | undefined;
  return {
    observeTokens(count) {
      const nowMs = timers.nowMs();
      if (previousMs === undefined) {
        limit.observeFirstToken(nowMs - startMs, getRunning());
      } else if (count > 0) {
        limit.observeBetweenTokens((nowMs - previousMs) / count);
      }
      previousMs = nowMs;
    },
  };
}
