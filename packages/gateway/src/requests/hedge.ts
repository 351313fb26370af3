import {
  type HedgePolicy,
  selectHedgeRunners,
} from "@jasminetide/core/hedging";
import type { TimerSubscription } from "@jasminetide/core/timers";
import { waitForReads } from "@jasminetide/runtime/clock";
import type { GatewayContext } from "../gateway_context.ts";
import type { RequestTrace } from "../request_log.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { AttemptEnd } from "./attempt.ts";
import { describeAttempt } from "./describe_attempt.ts";
import { observeRunner } from "./observe_end.ts";
import type { RunningAttempt } from "./running_attempt.ts";
import { hasRetriesToSpare } from "./take_retry.ts";

/** Options of the hedge of a request. */
export type HedgeOptions = {
  context: GatewayContext;
  admitted: AdmittedRequest;
  trace: RequestTrace;
  /**
   * Starts the second attempt at none of the runners with these ids; returns the
   * reason if it can't be started.
   */
  start: (triedIds: ReadonlySet<string>) => string | undefined;
  /** Runs a step of the request, whose end it is if the step throws. */
  run: (step: () => void) => void;
};

/**
 * Second attempt at one request, which is sent if the first is late, and the
 * times of its route's answers, by which it is late. Only for idempotent requests
 * without a prompt.
 */
export class Hedge {
  readonly #options: HedgeOptions;
  readonly #policy: HedgePolicy | undefined;
  #first: RunningAttempt | undefined;
  #sentAtMs = 0;
  #timer: TimerSubscription | undefined;
  #hasEnded = false;
  /** Number of the attempt that is the hedge. */
  #number: number | undefined;

  private constructor(options: HedgeOptions) {
    this.#options = options;
    const { admitted: { caller, route, service }, context } = options;
    const isPlain = route.kind === "idempotent" && caller.prompt.length === 0;
    this.#policy = isPlain ? context.hedging.get(service) : undefined;
  }

  /** Creates the hedge of a request that has not been sent. */
  static create(options: HedgeOptions): Hedge {
    return new Hedge(options);
  }

  /** Records that an attempt was sent; the first begins to be watched. */
  recordSent(running: RunningAttempt): void {
    if (this.#policy === undefined || running.number !== 1) return;
    const { admitted: { route }, context: { timers } } = this.#options;
    this.#first = running;
    this.#sentAtMs = timers.nowMs();
    const delayMs = this.#policy.getDelayMs(route.name, this.#sentAtMs);
    if (delayMs === undefined) return;
    const dueAtMs = this.#sentAtMs + delayMs;
    this.#timer = timers.schedule(
      delayMs,
      (nowMs) => void this.#handleLate(nowMs - dueAtMs),
    );
  }

  /** Records the end of an attempt that was under way. */
  recordEnd(running: RunningAttempt, end: AttemptEnd): void {
    const isFirst = running === this.#first;
    const isHedge = running.number === this.#number;
    if (isFirst) this.#timer?.[Symbol.dispose]();
    if (!isFirst && !isHedge) return;
    // The first is not late any more; what follows its failure is a retry.
    if (isFirst) this.#first = undefined;
    if (end.type !== "answered" || end.head.status >= 500) return;
    this.#recordAnswer();
    if (this.#number !== undefined) this.#recordOutcome(running, isHedge);
  }

  /** Ends the wait for a late answer. */
  [Symbol.dispose](): void {
    this.#hasEnded = true;
    this.#timer?.[Symbol.dispose]();
  }

  #recordAnswer(): void {
    const { admitted: { route }, context: { timers } } = this.#options;
    const nowMs = timers.nowMs();
    const durationMs = nowMs - this.#sentAtMs;
    this.#policy?.recordAnswer(route.name, { durationMs, nowMs });
  }

  #recordOutcome(running: RunningAttempt, isHedge: boolean): void {
    const { context, trace } = this.#options;
    const { metrics } = context;
    if (isHedge) {
      metrics.countHedgeWon();
      this.#recordLate();
    }
    trace.record(
      isHedge ? "hedge-won" : "hedge-lost",
      describeAttempt(running),
    );
  }

  /** Records that the first attempt is late; a silent one counts as lost. */
  #recordLate(): void {
    if (this.#first === undefined || this.#first.isSilent) return;
    observeRunner(this.#first.upstream, "late", this.#options.context);
  }

  async #handleLate(timerDelayMs: number): Promise<void> {
    // The answer may have arrived and not been read yet.
    await waitForReads();
    const first = this.#first;
    if (this.#hasEnded || first?.isAwaitingFirstByte !== true) return;
    this.#options.run(() => this.#tryStart(first, timerDelayMs));
  }

  #tryStart(first: RunningAttempt, timerDelayMs: number): void {
    const { context: { metrics, timers }, trace } = this.#options;
    const nowMs = timers.nowMs();
    const lateMs = Math.round(nowMs - this.#sentAtMs);
    const reason = this.#findRefusal(first, timerDelayMs);
    if (reason !== undefined) {
      metrics.countRefusedHedge();
      trace.record("hedge-refused", { reason, lateMs });
      return;
    }
    this.#policy?.recordHedge(nowMs);
    metrics.countHedge();
    trace.record("hedged", { ...describeAttempt(first), lateMs });
  }

  /** Starts the hedge; returns the reason if there is none. */
  #findRefusal(
    first: RunningAttempt,
    timerDelayMs: number,
  ): string | undefined {
    const { admitted: { service }, context, start } = this.#options;
    const nowMs = context.timers.nowMs();
    const refusal = this.#policy?.findRefusal({
      nowMs,
      hasRetriesToSpare: hasRetriesToSpare(service, context),
      timerDelayMs,
    });
    if (refusal !== undefined) return refusal;
    const all = context.directory.listReady(service);
    const late = first.upstream;
    const selection = selectHedgeRunners(all, { late, nowMs });
    if (selection.type === "none") return selection.reason;
    const selected = new Set(selection.runners);
    const others = all.filter((upstream) => !selected.has(upstream));
    const reason = start(new Set([late.id, ...others.map(({ id }) => id)]));
    if (reason === undefined) this.#number = first.number + 1;
    return reason;
  }
}
