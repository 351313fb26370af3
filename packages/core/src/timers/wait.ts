import type { TimerService } from "./timer_service.ts";

/** Waits for a duration of the timer service. */
export function wait(timers: TimerService, durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    timers.schedule(durationMs, () => resolve());
  });
}
