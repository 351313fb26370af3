import type { TimerService } from "../timers/mod.ts";

/** Takes one request out of the queue, for whatever reason comes first. */
export type Withdrawal = {
  /** Aborted with the reason for which the request is refused. */
  signal: AbortSignal;
  /** Refuses the request if it still waits. */
  refuse: (reason: unknown) => void;
  /** Ends the wait: from now on the request is not refused. */
  [Symbol.dispose](): void;
};

/** When and why a request is withdrawn. */
export type WithdrawalOptions = {
  timers: TimerService;
  /** Time after which the request can no longer meet its deadline. */
  delayMs: number;
  createDeadlineError: () => unknown;
  /** Aborted when the caller has gone. */
  callerSignal: AbortSignal | undefined;
  createCallerError: () => unknown;
  /** Gives back what the request holds, before anybody is told. */
  release: () => void;
};

/** Creates the withdrawal of a request that begins to wait. */
export function createWithdrawal(options: WithdrawalOptions): Withdrawal {
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
