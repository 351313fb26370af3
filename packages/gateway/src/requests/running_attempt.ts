import type { ReportedLoad } from "@jasminetide/core/pools";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import type { Silence } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import type { AnswerHead, BegunAnswer, RunnerAnswer } from "../protocol.ts";
import type { RunnerRequest, Upstream } from "../upstreams/mod.ts";
import { AnswerSilence } from "./answer_silence.ts";
import { Attempt, type AttemptEnd } from "./attempt.ts";
import { observeLeaving, observePause, observeRunner } from "./observe_end.ts";
import type { AttemptStream } from "./stream_relay.ts";

/** Options of a running attempt. */
export type RunningAttemptOptions = {
  upstream: Upstream;
  /** Number of the attempt at its request, from 1. */
  number: number;
  attemptId: string;
  request: RunnerRequest;
  route: DeclaredRoute;
  service: string;
  stream: AttemptStream;
  context: GatewayContext;
  /** Whether another runner could take over if this one is silent. */
  isReplaceable: boolean;
  /** Called just before the request is written. */
  onSent: () => void;
  /** Called when the runner states that it has not run the request. */
  onNotRun: () => void;
  /** Called before the request is sent, which waits for the promise. */
  prepareSend: () => Promise<void> | undefined;
  /** Whether the runner may still get the request, just before it is sent. */
  maySend: () => boolean;
  /** Called each time the runner was silent for its limit. */
  onSilence: (silence: Silence) => void;
};

/** An attempt at a runner that is under way, and how long it is silent. */
export class RunningAttempt {
  readonly upstream: Upstream;
  readonly number: number;
  readonly #options: RunningAttemptOptions;
  readonly #attempt: Attempt;
  readonly #startedAtMs: number;
  readonly #silence: AnswerSilence;
  #isSilent = false;
  #begun: BegunAnswer | undefined;

  private constructor(options: RunningAttemptOptions) {
    this.#options = options;
    this.upstream = options.upstream;
    this.number = options.number;
    this.#startedAtMs = options.context.timers.nowMs();
    this.#silence = AnswerSilence.create({
      ...options,
      onSilence: (silence) => this.#handleSilence(silence),
    });
    this.#attempt = Attempt.create({
      ...options,
      sink: options.stream,
      protocol: options.context.protocol,
      memory: options.context.answerMemory,
      onSent: () => {
        options.onSent();
        this.#silence.recordSent(options.isReplaceable);
      },
      onAnswerHead: (answer) =>
        observeLeaving(options.upstream, answer, options.context),
      onAnswer: (answer, head) => this.#handleAnswer(answer, head),
      onBytes: () => this.#recordBytes(),
      onPause: (isPaused) => this.#silence.setPaused(isPaused),
    });
  }

  /** Starts an attempt. */
  static create(options: RunningAttemptOptions): RunningAttempt {
    return new RunningAttempt(options);
  }

  /** Resolves with the attempt's end; never rejects. */
  get ended(): Promise<AttemptEnd> {
    return this.#attempt.ended;
  }

  /** Whether the runner has been silent for its limit and is so still. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Whether no byte of the answer has arrived. */
  get isAwaitingFirstByte(): boolean {
    return this.#silence.isAwaitingFirstByte;
  }

  /** Set once the runner has begun to answer the request. */
  get begun(): BegunAnswer | undefined {
    return this.#begun;
  }

  /** Cancels the attempt by closing its connection to the runner. */
  cancel(): void {
    this.stop();
    this.#attempt.cancel();
  }

  /** Ends the limit on silence of an attempt that is over. */
  stop(): void {
    this.#silence.stop();
  }

  /**
   * Records that the runner may be unreachable: counts the request as lost and
   * closes connections that have been idle since before this attempt.
   */
  recordLoss(): void {
    const { context, upstream } = this.#options;
    upstream.connections.closeIdleSince(this.#startedAtMs);
    observeRunner(upstream, "lost", context);
  }

  #handleAnswer(answer: RunnerAnswer, head: AnswerHead): void {
    const { context, onNotRun, upstream } = this.#options;
    observePause(upstream, answer, context);
    if (head.status < 300 && answer.isGenuine) {
      const atMs = context.timers.nowMs();
      this.#begun = { atMs, isFramed: head.isFramed };
    }
    // Bytes that are no answer to the request do not end a limit.
    if (answer.limitPerSecond !== undefined || answer.attemptId !== undefined) {
      context.limitNews.observe(upstream, answer.limitPerSecond);
    }
    if (answer.isNotRun) onNotRun();
    if (answer.load === undefined) return;
    this.#observeLoad(answer.load, head);
  }

  /** Records a reported load, and how long the answer took if it is plain. */
  #observeLoad(load: ReportedLoad, { status }: AnswerHead): void {
    const { context, route, service, upstream } = this.#options;
    context.loadReports.observe(upstream, load);
    if (route.kind === "stream" || status >= 300) return;
    const nowMs = context.timers.nowMs();
    const durationMs = nowMs - this.#startedAtMs;
    context.services.getServiceTime(service).observe(durationMs, {
      load,
      nowMs,
    });
  }

  #recordBytes(): void {
    const { route, stream } = this.#options;
    const hasProgressed = route.kind !== "stream" || stream.takeProgress();
    if (hasProgressed) this.#isSilent = false;
    this.#silence.recordBytes(hasProgressed);
  }

  #handleSilence(silence: Silence): void {
    if (!this.#isSilent) this.recordLoss();
    this.#isSilent = true;
    this.#options.onSilence(silence);
  }
}
