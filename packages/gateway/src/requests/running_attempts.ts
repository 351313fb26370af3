import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { RequestTrace } from "../request_log.ts";
import { describeAttempt } from "./describe_attempt.ts";
import type { RunningAttempt } from "./running_attempt.ts";

/** Options of the attempts at one request. */
export type RunningAttemptsOptions = {
  trace: RequestTrace;
  metrics: GatewayMetrics;
};

/**
 * Attempts at one request that are under way; several only while a runner is
 * silent.
 */
export class RunningAttempts {
  readonly #options: RunningAttemptsOptions;
  readonly #attempts = new Set<RunningAttempt>();

  private constructor(options: RunningAttemptsOptions) {
    this.#options = options;
  }

  /** Creates an empty set. */
  static create(options: RunningAttemptsOptions): RunningAttempts {
    return new RunningAttempts(options);
  }

  get size(): number {
    return this.#attempts.size;
  }

  /** The attempt that began before the others. */
  get first(): RunningAttempt | undefined {
    const [first] = this.#attempts;
    return first;
  }

  /** Whether the runners of all are silent. */
  get areSilent(): boolean {
    return [...this.#attempts].every(({ isSilent }) => isSilent);
  }

  /** Whether the runner of one reported lately that requests wait there. */
  hasQueue(nowMs: number): boolean {
    return [...this.#attempts].some(({ upstream }) =>
      upstream.load.hasQueue(nowMs)
    );
  }

  add(attempt: RunningAttempt): void {
    this.#attempts.add(attempt);
  }

  /** Removes an attempt that has ended; returns whether it was under way. */
  remove(attempt: RunningAttempt): boolean {
    return this.#attempts.delete(attempt);
  }

  /** Cancels the other attempts if the preferred one is under way. */
  prefer(preferred: RunningAttempt): void {
    if (this.#attempts.has(preferred)) this.#cancelExcept(preferred);
  }

  /** Cancels all attempts. */
  cancel(): void {
    this.#cancelExcept(undefined);
  }

  #cancelExcept(preferred: RunningAttempt | undefined): void {
    const { metrics, trace } = this.#options;
    for (const attempt of [...this.#attempts]) {
      if (attempt === preferred) continue;
      this.#attempts.delete(attempt);
      attempt.cancel();
      metrics.countAttempt("cancelled");
      trace.record("attempt-cancelled", {
        ...describeAttempt(attempt),
        preferred: preferred?.upstream.id,
      });
    }
  }
}
