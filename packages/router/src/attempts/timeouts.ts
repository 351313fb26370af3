import { AppError, type ResultName } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";

/** What is thrown when the time is over. */
export type TimeoutOptions = {
  timers: TimerService;
  durationMs: number;
  result: ResultName;
  describe: string;
};

/** Waits for a promise no longer than a duration. */
export function waitAtMost<Value>(
  promise: Promise<Value>,
  options: TimeoutOptions,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const timer = options.timers.schedule(options.durationMs, () => {
      reject(AppError.create(options.result, options.describe));
    });
    promise.then(resolve, reject).finally(() => timer[Symbol.dispose]());
  });
}
