/** How long an answer may take. */
export type SilenceLimitOptions = {
  /** Time until the first sign of the answer. */
  firstMs: number;
  /** Time between two parts of it. */
  pauseMs: number;
  /** Time for all of it, so that no trickle holds a call for ever. */
  totalMs: number;
};

/**
 * Aborts a call whose other end has fallen silent. A long answer over a small
 * link takes its time; what is lost shows as a pause.
 */
export class SilenceLimit implements Disposable {
  readonly #abort = new AbortController();
  readonly #options: SilenceLimitOptions;
  readonly #totalTimer: NodeJS.Timeout;
  #pauseTimer: NodeJS.Timeout;

  private constructor(options: SilenceLimitOptions) {
    this.#options = options;
    this.#totalTimer = this.#schedule(options.totalMs);
    this.#pauseTimer = this.#schedule(options.firstMs);
  }

  /** Starts to wait for the first sign of an answer. */
  static create(options: SilenceLimitOptions): SilenceLimit {
    return new SilenceLimit(options);
  }

  /** Aborts once a limit has passed. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Takes in that a part of the answer has come. */
  recordPart(): void {
    clearTimeout(this.#pauseTimer);
    this.#pauseTimer = this.#schedule(this.#options.pauseMs);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#pauseTimer);
    clearTimeout(this.#totalTimer);
  }

  #schedule(delayMs: number): NodeJS.Timeout {
    return setTimeout(
      () =>
        this.#abort.abort(
          new DOMException("No answer in time", "TimeoutError"),
        ),
      delayMs,
    );
  }
}
