/** Called when a timer fires, with the time of the timer service. */
export type TimerHandler = (nowMs: number) => void;

/** Handle of a timer; disposing of it cancels the timer. */
export type TimerSubscription = { [Symbol.dispose](): void };

/**
 * The single source of time in a process. Other code never reads a clock or
 * sets a timer directly.
 */
export type TimerService = {
  /** Milliseconds since 1970 by a steady clock; never decreases. */
  nowMs(): number;
  /**
   * Time of day in milliseconds since 1970. It may jump, but unlike the steady
   * clock it counts the time for which the host was suspended.
   */
  wallMs(): number;
  /** Calls the handler every `periodMs` until disposed. */
  subscribe(periodMs: number, handler: TimerHandler): TimerSubscription;
  /** Calls the handler once after `delayMs` unless disposed before. */
  schedule(delayMs: number, handler: TimerHandler): TimerSubscription;
};
