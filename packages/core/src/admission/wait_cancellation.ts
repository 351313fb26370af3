import type { TimerService } from "../timers/mod.ts";

/**
 * Cancels the wait of one queued request: because its deadline can no longer be
 * met, because its caller has disconnected, or through `refuse`.
 */
export type WaitCancellation = {
  /** Aborted with the reason when the request is refused. */
  signal: AbortSignal;
  /** Releases the request's load and aborts `signal` with the reason. */
  refuse: (reason: unknown) => void;
  /** Removes the timer and the listener of the caller's signal. */
  [Symbol.dispose](): void;
};

/** Conditions that cancel the wait of a request. */
export type WaitCancellationOptions = {
  timers: TimerService;
  /** Delay after which the request can no longer meet its deadline. */
  delayMs: number;
  createDeadlineError: () => unknown;
  /** Aborted when the caller has disconnected. */
  callerSignal: AbortSignal | undefined;
  createCallerError: () => unknown;
  /** Releases the request's load; called before `signal` is aborted. */
  release: () => void;
};

/** Creates the cancellation of a request that starts to wait. */
export function createWaitCancellation(
  options: WaitCancellationOptions,
): WaitCancellation {
  const { callerSignal, release, timers } = options;
  const controller = new AbortController();
  const refuse = (reason: unknown) => {
    dispose();
    release();
    controller.abort(reason);
  };
  const abandon = () => refuse(options.createCallerError());
  const timer = timers.schedule(
    Math.max(0, options.delayMs),
    () => refuse(options.createDeadlineError()),
  );
  const dispose = () => {
    timer[Symbol.dispose]();
    callerSignal?.removeEventListener("abort", abandon);
  };
  callerSignal?.addEventListener("abort", abandon, { once: true });
  if (callerSignal?.aborted === true) abandon();
  return { signal: controller.signal, refuse, [Symbol.dispose]: dispose };
}
