import { startTimeout } from "./start_timeout.ts";

/** Time limits of an answer. */
export type SilenceLimitOptions = {
  /** Maximum time until the answer begins. */
  firstMs: number;
  /** Maximum time between two chunks of the answer. */
  pauseMs: number;
  /** Maximum time for the whole answer, however steadily it arrives. */
  totalMs: number;
};

/**
 * Aborts a call whose peer stops sending. The limit on pauses detects a lost
 * connection without cutting off a long answer over a slow link.
 */
export class SilenceLimit implements Disposable {
  readonly #abort = new AbortController();
  readonly #options: SilenceLimitOptions;
  readonly #totalTimer: Disposable;
  #pauseTimer: Disposable;
  /** Time of the last chunk; undefined before the answer has begun. */
  #progressAtMs: number | undefined;

  private constructor(options: SilenceLimitOptions) {
    this.#options = options;
    this.#totalTimer = this.#schedule(options.totalMs);
    this.#pauseTimer = this.#schedule(options.firstMs);
  }

  /** Starts to measure the time of an answer. */
  static create(options: SilenceLimitOptions): SilenceLimit {
    return new SilenceLimit(options);
  }

  /** Signal that is aborted when a limit is exceeded. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /**
   * Records that the answer has begun or that a chunk of it has arrived. Only
   * the first call starts a timer, since there may be very many chunks.
   */
  recordProgress(): void {
    const isFirst = this.#progressAtMs === undefined;
    this.#progressAtMs = performance.now();
    if (!isFirst) return;
    this.#pauseTimer[Symbol.dispose]();
    this.#pauseTimer = this.#schedulePause(this.#options.pauseMs);
  }

  [Symbol.dispose](): void {
    this.#pauseTimer[Symbol.dispose]();
    this.#totalTimer[Symbol.dispose]();
  }

  #schedulePause(delayMs: number): Disposable {
    return startTimeout(delayMs, () => {
      const progressAtMs = this.#progressAtMs ?? 0;
      const { pauseMs } = this.#options;
      const leftMs = progressAtMs + pauseMs - performance.now();
      if (leftMs <= 0) this.#expire(pauseMs);
      else this.#pauseTimer = this.#schedulePause(leftMs);
    });
  }

  #schedule(delayMs: number): Disposable {
    return startTimeout(delayMs, () => this.#expire(delayMs));
  }

  #expire(limitMs: number): void {
    const message = `Answer timed out after ${limitMs} ms`;
    this.#abort.abort(new DOMException(message, "TimeoutError"));
  }
}
