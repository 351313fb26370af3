/** Called when a timer falls due, with the time of the timer service. */
export type TimerHandler = (nowMs: number) => void;

/** A subscription; disposing of it stops further calls. */
export type TimerSubscription = { [Symbol.dispose](): void };

/**
 * The one source of time in a process. Parts never read a clock or set a
 * timer of their own.
 */
export type TimerService = {
  /** Wall time in milliseconds since 1970; never decreases. */
  nowMs(): number;
  /** Calls the handler every `periodMs` until disposed. */
  subscribe(periodMs: number, handler: TimerHandler): TimerSubscription;
  /** Calls the handler once after `delayMs` unless disposed before. */
  schedule(delayMs: number, handler: TimerHandler): TimerSubscription;
};
