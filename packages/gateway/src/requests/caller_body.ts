import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { MemoryBudget, MemoryShare } from "@jasminetide/core/limits";
import { AppError } from "@jasminetide/core/results";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import { readBody } from "@jasminetide/runtime/http";

/** Limits on a body and what it uses. */
export type CallerBodyOptions = {
  maxBodyBytes: number;
  /** Time for which nothing of it may arrive. */
  idleTimeoutMs: number;
  /** Time at which the whole of it must have arrived. */
  deadlineMs: number;
  timers: TimerService;
  /** Memory for the bodies of all requests. */
  bodyMemory: MemoryBudget;
};

/** Body of a caller's request; its memory counts until it is disposed of. */
export class CallerBody implements Disposable {
  readonly #request: IncomingMessage;
  readonly #options: CallerBodyOptions;
  readonly #memory: MemoryShare;
  #discard: (error: AppError) => void = () => {};
  #progressedAtMs: number;
  #timer: TimerSubscription | undefined;

  private constructor(request: IncomingMessage, options: CallerBodyOptions) {
    this.#request = request;
    this.#options = options;
    this.#progressedAtMs = options.timers.nowMs();
    this.#memory = options.bodyMemory.hold(() =>
      this.#discard(createMemoryError())
    );
  }

  /** Creates the body of a request of which the head was read. */
  static create(
    request: IncomingMessage,
    options: CallerBodyOptions,
  ): CallerBody {
    return new CallerBody(request, options);
  }

  /**
   * Reads the whole body.
   *
   * @throws AppError `bodyTooLarge`, also if only announced, `bodyLate`,
   * `memoryLimited`, or `callerGone`.
   */
  async read(): Promise<Buffer> {
    const { maxBodyBytes, timers } = this.#options;
    const announced = Number(this.#request.headers["content-length"] ?? 0);
    if (announced > maxBodyBytes) {
      throw AppError.create(
        "bodyTooLarge",
        `Body exceeds ${maxBodyBytes} bytes`,
      );
    }
    try {
      return await readBody(this.#request, maxBodyBytes, {
        onReading: (discard) => {
          this.#discard = discard;
          if (!this.#request.complete) this.#awaitRest();
        },
        onSize: (bytes) => {
          this.#progressedAtMs = timers.nowMs();
          this.#memory.set(bytes);
        },
      });
    } finally {
      this.#timer?.[Symbol.dispose]();
      this.#memory.retain();
    }
  }

  [Symbol.dispose](): void {
    this.#memory[Symbol.dispose]();
  }

  #awaitRest(): void {
    const { deadlineMs, idleTimeoutMs, timers } = this.#options;
    const nowMs = timers.nowMs();
    const endMs = Math.min(deadlineMs, this.#progressedAtMs + idleTimeoutMs);
    if (nowMs >= endMs) {
      this.#discard(
        AppError.create("bodyLate", "The body did not arrive in time"),
      );
      return;
    }
    this.#timer = timers.schedule(endMs - nowMs, () => this.#awaitRest());
  }
}

function createMemoryError(): AppError {
  return AppError.create(
    "memoryLimited",
    "The bodies of requests in flight exceed their memory",
    { retryAfterMs: memoryRetryAfterMs },
  );
}

/** Time in which bodies of other requests have been sent on. */
const memoryRetryAfterMs = 500;
