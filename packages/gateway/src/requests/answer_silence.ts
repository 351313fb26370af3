import type { LatencyTracker } from "@jasminetide/core/retries";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import { type Silence, SilenceWatch } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import { getFirstByteLimitMs, getPauseLimitMs } from "./silence_limits.ts";

/** Options of the silence of an attempt's answer. */
export type AnswerSilenceOptions = {
  route: DeclaredRoute;
  service: string;
  context: Pick<GatewayContext, "metrics" | "services" | "timers">;
  /** Called each time an answer is silent for its limit. */
  onSilence: (silence: Silence) => void;
};

/** Measures how long the answer to one attempt is silent. */
export class AnswerSilence {
  readonly #options: AnswerSilenceOptions;
  #watch: SilenceWatch | undefined;
  #sentAtMs = 0;
  #progressedAtMs = 0;
  #limitMs = Infinity;
  #isAwaitingFirstByte = true;

  private constructor(options: AnswerSilenceOptions) {
    this.#options = options;
  }

  /** Creates the silence of an attempt that has not been sent. */
  static create(options: AnswerSilenceOptions): AnswerSilence {
    return new AnswerSilence(options);
  }

  /** Whether the answer has not begun. */
  get isAwaitingFirstByte(): boolean {
    return this.#isAwaitingFirstByte;
  }

  /**
   * Records that the request was sent.
   *
   * @param isLimited whether another runner could take over.
   */
  recordSent(isLimited: boolean): void {
    const { route, context: { timers } } = this.#options;
    this.#sentAtMs = timers.nowMs();
    this.#progressedAtMs = this.#sentAtMs;
    if (!isLimited) return;
    this.#limitMs = getFirstByteLimitMs(this.#getFirstByteTimes(), {
      goalMs: route.goalMs,
      timeoutMs: route.timeoutMs,
      kind: route.kind,
      nowMs: this.#sentAtMs,
    });
    this.#watch = SilenceWatch.create({
      timers,
      limitMs: this.#limitMs,
      onSilence: (silence) => this.#handleSilence(silence),
    });
  }

  /**
   * Records that bytes of the answer have arrived.
   *
   * @param hasProgressed whether they count against the limit on pauses.
   */
  recordBytes(hasProgressed: boolean): void {
    if (this.#isAwaitingFirstByte) this.#recordFirstByte();
    if (!hasProgressed) return;
    this.#progressedAtMs = this.#options.context.timers.nowMs();
    this.#watch?.recordActivity();
  }

  /** Pauses or resumes the limit, as the caller must read first. */
  setPaused(isPaused: boolean): void {
    this.#watch?.setPaused(isPaused);
  }

  /** Ends the limit. */
  stop(): void {
    this.#watch?.[Symbol.dispose]();
  }

  #recordFirstByte(): void {
    const { context: { metrics, timers }, route } = this.#options;
    const nowMs = timers.nowMs();
    const durationMs = nowMs - this.#sentAtMs;
    this.#isAwaitingFirstByte = false;
    this.#getFirstByteTimes().record(durationMs, nowMs);
    metrics.recordFirstByte(route.kind, durationMs);
    this.#limitMs = getPauseLimitMs(route);
    this.#watch?.setLimit(this.#limitMs);
  }

  /** Reports a silence and begins to measure the next one. */
  #handleSilence(silence: Silence): void {
    this.#watch?.setLimit(this.#limitMs);
    const { context: { timers }, onSilence } = this.#options;
    onSilence({ ...silence, silentMs: timers.nowMs() - this.#progressedAtMs });
  }

  #getFirstByteTimes(): LatencyTracker {
    const { context, route, service } = this.#options;
    return context.services.getFirstByteTimes(service, route.kind);
  }
}
