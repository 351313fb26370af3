import { ColdLimit, type ColdLimitUse, StatedLimit } from "../limits/mod.ts";

/**
 * Whether a runner process accepts new requests of this router, by what its
 * answers to this router state. Unlike the health of a runner, which is a guess,
 * this is never overridden when no other runner is left.
 */
export class RunnerAvailability {
  /** Limit on the requests of all routers together. */
  readonly limit = StatedLimit.create();
  /** Limit on these while the process is cold. */
  readonly cold = ColdLimit.create();
  #isLeaving = false;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates the availability of a process that has stated nothing yet. */
  static create(): RunnerAvailability {
    return new RunnerAvailability();
  }

  /** Whether an answer stated that the process is about to leave. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /**
   * Records that the process is about to leave; this is final for the process.
   *
   * @returns whether this was not known before.
   */
  recordLeaving(): boolean {
    const wasLeaving = this.#isLeaving;
    this.#isLeaving = true;
    return !wasLeaving;
  }

  /**
   * Records that the process refused a request and asked for a pause.
   *
   * @returns the pause in milliseconds, which is limited to `maxPauseMs`.
   */
  recordPause(requestedMs: number, nowMs: number): number {
    const durationMs = Math.min(requestedMs, maxPauseMs);
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + durationMs);
    return durationMs;
  }

  /**
   * Gets the time until the limits of the process allow a request of this router;
   * 0 if they do now, infinite if it has no share.
   */
  getLimitWaitMs(use: ColdLimitUse): number {
    return Math.max(this.limit.getWaitMs(use), this.cold.getWaitMs(use));
  }

  /** Records that this router sends a request. */
  recordSend(nowMs: number): void {
    this.limit.recordSend();
    this.cold.recordSend(nowMs);
  }

  /**
   * Records that a request is sent now which `recordSend` counted before it
   * waited for a connection; false if the process is cold and may not get it.
   */
  trySend(recordedAtMs: number, use: ColdLimitUse): boolean {
    return this.cold.trySend(recordedAtMs, use);
  }

  /** Gets how long the process still wants no requests; 0 if it accepts them. */
  getPauseLeftMs(nowMs: number): number {
    return Math.max(0, this.#pausedUntilMs - nowMs);
  }

  /** Checks whether the process accepts new requests. */
  isAvailable(nowMs: number): boolean {
    return !this.#isLeaving && nowMs >= this.#pausedUntilMs;
  }
}

/** Longest pause, so that a wrong value does not exclude a runner forever. */
const maxPauseMs = 900_000;
