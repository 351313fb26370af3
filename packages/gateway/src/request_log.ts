import { hash32 } from "@jasminetide/core/hashing";
import type { TimerService } from "@jasminetide/core/timers";
import type { LogFields, Logger } from "@jasminetide/runtime/logging";

/** What a log of requests needs. */
export type RequestLogOptions = {
  logger: Logger;
  timers: TimerService;
  /** Share of requests of which every line is written. */
  sampleShare: number;
  /** Most lines a second, sampled ones and failures together. */
  linesPerSecond: number;
};

/** Events that tell of a failure and are written of every request. */
const failureEvents = new Set(["refused", "gave-up", "expired"]);

/**
 * Writes the decisions on single requests. Of a sample of requests, chosen by
 * id, all lines are written; of the others only the failures.
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  #secondStartedAtMs = 0;
  #lines = 0;
  #omitted = 0;

  private constructor(options: RequestLogOptions) {
    this.#options = options;
  }

  /** Creates a log. */
  static create(options: RequestLogOptions): RequestLog {
    return new RequestLog(options);
  }

  /** Records a decision on the request with an attempt id. */
  record(attemptId: string, event: string, fields: LogFields): void {
    if (!failureEvents.has(event) && !this.#isSampled(attemptId)) return;
    this.#startSecond();
    if (this.#lines >= this.#options.linesPerSecond) {
      this.#omitted += 1;
      return;
    }
    this.#lines += 1;
    this.#options.logger.info(event, { attemptId, ...fields });
  }

  #isSampled(attemptId: string): boolean {
    const { sampleShare } = this.#options;
    return (hash32(attemptId) % 1000) < sampleShare * 1000;
  }

  #startSecond(): void {
    const nowMs = this.#options.timers.nowMs();
    if (nowMs - this.#secondStartedAtMs < 1000) return;
    if (this.#omitted > 0) {
      this.#options.logger.warn("lines-omitted", { count: this.#omitted });
    }
    this.#secondStartedAtMs = nowMs;
    this.#lines = 0;
    this.#omitted = 0;
  }
}
