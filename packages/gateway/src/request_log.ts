import { hash32 } from "@jasminetide/core/hashing";
import type { TimerService } from "@jasminetide/core/timers";
import type { LogFields, Logger } from "@jasminetide/runtime/logging";

/** Options of a request log. */
export type RequestLogOptions = {
  logger: Logger;
  timers: TimerService;
  /** Share of successful requests whose lines are written, 0 to 1. */
  sampleShare: number;
  /** Maximum lines per second; requests beyond it are only counted. */
  linesPerSecond: number;
};

type Line = { event: string; fields: LogFields };

/**
 * Logs the decisions on individual requests: all lines of each failed request
 * and of a sample of the others, selected by attempt id, up to a maximum rate.
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  #secondStartedAtMs = 0;
  #lines = 0;
  #omittedRequests = 0;

  private constructor(options: RequestLogOptions) {
    this.#options = options;
  }

  /** Creates a log. */
  static create(options: RequestLogOptions): RequestLog {
    return new RequestLog(options);
  }

  /** Opens the trace of a request that has arrived. */
  openTrace(attemptId: string): RequestTrace {
    const { timers } = this.#options;
    return RequestTrace.create({
      timers,
      write: (lines, isFailed) => {
        if (isFailed || this.#isSampled(attemptId)) {
          this.#write(attemptId, lines);
        }
      },
    });
  }

  #write(attemptId: string, lines: readonly Line[]): void {
    this.#startSecond();
    if (this.#lines + lines.length > this.#options.linesPerSecond) {
      this.#omittedRequests += 1;
      return;
    }
    this.#lines += lines.length;
    for (const { event, fields } of lines) {
      this.#options.logger.info(event, { attemptId, ...fields });
    }
  }

  #isSampled(attemptId: string): boolean {
    const { sampleShare } = this.#options;
    return (hash32(attemptId) % 1000) < sampleShare * 1000;
  }

  #startSecond(): void {
    const nowMs = this.#options.timers.nowMs();
    if (nowMs - this.#secondStartedAtMs < 1000) return;
    if (this.#omittedRequests > 0) {
      this.#options.logger.warn("requests-not-logged", {
        count: this.#omittedRequests,
      });
    }
    this.#secondStartedAtMs = nowMs;
    this.#lines = 0;
    this.#omittedRequests = 0;
  }
}

/** Options of a trace. */
type RequestTraceOptions = {
  timers: TimerService;
  write: (lines: readonly Line[], isFailed: boolean) => void;
};

/** Decisions on one request, buffered until the request ends. */
export class RequestTrace {
  readonly #options: RequestTraceOptions;
  readonly #openedAtMs: number;
  readonly #lines: Line[] = [];

  private constructor(options: RequestTraceOptions) {
    this.#options = options;
    this.#openedAtMs = options.timers.nowMs();
  }

  /** Opens a trace. */
  static create(options: RequestTraceOptions): RequestTrace {
    return new RequestTrace(options);
  }

  /** Records a decision; `atMs` is the time since the request's arrival. */
  record(event: string, fields: LogFields): void {
    if (this.#lines.length >= maxLinesPerRequest) return;
    const atMs = Math.round(this.#options.timers.nowMs() - this.#openedAtMs);
    this.#lines.push({ event, fields: { atMs, ...fields } });
  }

  /** Ends the trace and passes its lines to the log. */
  close({ isFailed }: { isFailed: boolean }): void {
    this.#options.write(this.#lines, isFailed);
  }
}

/** Limit on one request's lines; seldom reached, as attempts are bounded. */
const maxLinesPerRequest = 20;
