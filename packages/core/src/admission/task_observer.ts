import type { TimerService } from "../timers/mod.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { TaskObserver } from "./types.ts";

/** Limit to which a task observer reports, and its inputs. */
export type TaskObserverOptions = {
  limit: ConcurrencyLimit;
  timers: TimerService;
  getRunning: () => number;
};

/**
 * Tokens over which the time between tokens is averaged. The mean is what a
 * reader of the stream notices; a single step is slow whenever the runner
 * computes another request's prompt in it.
 */
const tokensPerSample = 16;

/** Creates the observer of a task that starts now. */
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
      if (tokens < tokensPerSample) return;
      limit.observeBetweenTokens((nowMs - spanStartMs) / tokens);
      spanStartMs = nowMs;
      tokens = 0;
    },
  };
}
