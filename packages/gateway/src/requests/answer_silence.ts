import type { LatencyTracker } from "@jasminetide/core/retries";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import { type Silence, SilenceWatch } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import { getFirstByteLimitMs, getPauseLimitMs } from "./silence_limits.ts";

/** Options of the silence of a request's answers. */
export type AnswerSilenceOptions = {
  route: DeclaredRoute;
  service: string;
  context: Pick<GatewayContext, "getFirstByteTimes" | "metrics" | "timers">;
  /** Called when an answer is silent for longer than its limit. */
  onSilence: (silence: Silence) => void;
};

/** Measures how long the answers to one request are silent. */
export class AnswerSilence {
  readonly #options: AnswerSilenceOptions;
  #watch: SilenceWatch | undefined;
  #sentAtMs = 0;
  #isAwaitingFirstByte = true;

  private constructor(options: AnswerSilenceOptions) {
    this.#options = options;
  }

  /** Creates the silence of a request that has not been sent. */
  static create(options: AnswerSilenceOptions): AnswerSilence {
    return new AnswerSilence(options);
  }

  /** Whether the current answer has not begun. */
  get isAwaitingFirstByte(): boolean {
    return this.#isAwaitingFirstByte;
  }

  /**
   * Records that the request was sent.
   *
   * @param isLimited whether another runner could take over.
   */
  recordSent(isLimited: boolean): void {
    const { onSilence, route, context: { timers } } = this.#options;
    this.#sentAtMs = timers.nowMs();
    this.#isAwaitingFirstByte = true;
    if (!isLimited) return;
    const limitMs = getFirstByteLimitMs(this.#getFirstByteTimes(), {
      goalMs: route.goalMs,
      kind: route.kind,
      nowMs: this.#sentAtMs,
    });
    this.#watch = SilenceWatch.create({ timers, limitMs, onSilence });
  }

  /**
   * Records that bytes of the answer have arrived.
   *
   * @param hasProgressed whether they count against the limit on pauses.
   */
  recordBytes(hasProgressed: boolean): void {
    if (this.#isAwaitingFirstByte) this.#recordFirstByte();
    if (hasProgressed) this.#watch?.recordActivity();
  }

  /** Ends the limit of the current answer. */
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
    this.#watch?.setLimit(getPauseLimitMs(route));
  }

  #getFirstByteTimes(): LatencyTracker {
    const { context, route, service } = this.#options;
    return context.getFirstByteTimes(service, route.kind);
  }
}
