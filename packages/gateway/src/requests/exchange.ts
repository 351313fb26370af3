import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError, type ResultName } from "@jasminetide/core/results";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import type { TimerSubscription } from "@jasminetide/core/timers";
import type { LogFields } from "@jasminetide/runtime/logging";
import type { Silence } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallerRequest } from "../protocol.ts";
import { createQuarantineError } from "../quarantine/mod.ts";
import type { RequestTrace } from "../request_log.ts";
import type { RunnerRequest } from "../upstreams/mod.ts";
import type { AnswerSink, AttemptEnd } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import {
  canTakeOver,
  decideNext,
  isRepeatable,
  isSettled,
  type NextStep,
} from "./decide_next.ts";
import { selectForwardedHeaders } from "./forwarded_headers.ts";
import {
  describeBreak,
  describeEnd,
  getRunnerOutcome,
  observePrompt,
  observeRunner,
} from "./observe_end.ts";
import {
  getPauseLeftMs,
  placeAttempt,
  type Placement,
} from "./place_attempt.ts";
import { RunningAttempt } from "./running_attempt.ts";
import { StreamRelay } from "./stream_relay.ts";

/** A request that was admitted, with its route and limits. */
export type AdmittedRequest = {
  caller: CallerRequest;
  route: DeclaredRoute;
  service: string;
  workspace: string | undefined;
  /** Priority of the workspace or else of the route; 0 is served first. */
  priority: number;
  body: Buffer;
  /** Time by which it must be answered, on the timer service's clock. */
  deadlineMs: number;
};

/** Options of an exchange. */
export type ExchangeOptions = {
  context: GatewayContext;
  admitted: AdmittedRequest;
  request: IncomingMessage;
  response: ServerResponse;
  answer: CallerAnswer;
  trace: RequestTrace;
};

/**
 * Sends one admitted request to runners until its caller is answered. While a
 * runner is silent, another one is tried as well; the first whose answer
 * progresses goes on with the request, and the others are cancelled.
 */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #triedIds = new Set<string>();
  readonly #relay: StreamRelay;
  /** Attempts that are under way; several only while a runner is silent. */
  readonly #running = new Set<RunningAttempt>();
  readonly #finished: Promise<void>;
  #finish: () => void = () => {};
  #attempts = 0;
  /** Whether the runner refused the last attempt as not run. */
  #wasRefused = false;
  /** Attempts in which the request may have run. */
  #runs = 0;
  #hasEnded = false;
  #lastAnswer: Extract<AttemptEnd, { type: "answered" }> | undefined;

  private constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#relay = StreamRelay.create(options.answer);
    this.#finished = new Promise((resolve) => {
      this.#finish = resolve;
    });
  }

  /** Serves a request; resolves when its caller is answered or disconnects. */
  static async serve(options: ExchangeOptions): Promise<void> {
    const exchange = new Exchange(options);
    const { admitted, context, response } = options;
    response.once("close", () => exchange.#cancel());
    const deadline: TimerSubscription = context.timers.schedule(
      admitted.deadlineMs - context.timers.nowMs(),
      () => exchange.#expire(),
    );
    exchange.#tryNext();
    await exchange.#finished;
    deadline[Symbol.dispose]();
  }

  #getProgress() {
    const { answer, admitted: { route } } = this.#options;
    return {
      kind: route.kind,
      isResumable: route.isResumable,
      hasBegun: answer.hasBegun,
      runs: this.#runs,
      maxRuns: route.maxAttempts,
      attempts: this.#attempts,
    };
  }

  /** Starts the next attempt, or ends the request if there is none to start. */
  #tryNext(): void {
    // A runner that has just refused has no capacity a moment later either.
    const reason = this.#startAttempt({ mayReturn: !this.#wasRefused });
    if (reason !== undefined) this.#endWithoutRunner(reason);
  }

  /** Tries another runner while all that were tried are silent. */
  #tryTakeover(): void {
    if ([...this.#running].some(({ isSilent }) => !isSilent)) return;
    const reason = canTakeOver(this.#getProgress())
      ? this.#startAttempt({ mayReturn: false })
      : "no attempt left";
    if (reason !== undefined) this.#log("kept-waiting", { reason });
  }

  /** Starts an attempt; returns the reason if none can be started. */
  #startAttempt({ mayReturn }: { mayReturn: boolean }): string | undefined {
    const { admitted: { caller, service }, context } = this.#options;
    const quarantined = context.promptGuard.findQuarantined(caller.prompt);
    if (quarantined !== undefined) {
      context.metrics.countQuarantineRefusal();
      return `quarantined prompt part ${quarantined.partId}`;
    }
    const triedIds = this.#triedIds;
    const placement = placeAttempt(
      { caller, service, triedIds, mayReturn },
      context,
    );
    if (placement === undefined) return "no runner available";
    if (!this.#takeRetry()) return "retry budget exhausted";
    if (this.#attempts > 0) context.metrics.countRetry();
    const running = this.#createAttempt(placement);
    this.#running.add(running);
    void running.ended.then((end) => this.#handleEnd(running, end));
    return undefined;
  }

  /** Takes a retry from the budget; the first send does not count as one. */
  #takeRetry(): boolean {
    const { admitted, context } = this.#options;
    const budget = context.getRetryBudget(admitted.service);
    const nowMs = context.timers.nowMs();
    if (this.#attempts === 0) {
      budget.recordRequest(nowMs);
      return true;
    }
    const isTaken = budget.tryTake(nowMs, context.countRouters());
    if (!isTaken) context.metrics.countRefusedRetry();
    return isTaken;
  }

  #createAttempt(placement: Placement): RunningAttempt {
    const { admitted, context } = this.#options;
    const { upstream } = placement;
    this.#attempts += 1;
    this.#triedIds.add(upstream.id);
    const running: RunningAttempt = RunningAttempt.create({
      upstream,
      number: this.#attempts,
      attemptId: admitted.caller.attemptId,
      request: this.#formatRequest(placement),
      route: admitted.route,
      service: admitted.service,
      sink: this.#createSink(() => running),
      context,
      isReplaceable: isRepeatable(admitted.route),
      onSent: () => this.#runs += 1,
      onNotRun: () => this.#runs -= 1,
      onBytes: () => this.#recordBytes(running),
      onSilence: (silence) => this.#handleSilence(running, silence),
    });
    this.#logSent(placement);
    return running;
  }

  #formatRequest({ cacheSource, upstream }: Placement): RunnerRequest {
    const { admitted, context, request } = this.#options;
    const headers = selectForwardedHeaders(request.rawHeaders, {
      without: ["content-length"],
    });
    return {
      method: request.method ?? "GET",
      target: request.url ?? "/",
      headers: context.protocol.formatRunnerHeaders(headers, {
        runnerId: upstream.id,
        timeoutMs: Math.max(1, Math.floor(this.#getLeftMs())),
        workspace: admitted.workspace,
        priority: admitted.priority,
        lastEventId: this.#relay.lastEventId,
        cacheSource,
      }),
      body: admitted.body,
    };
  }

  /** Creates a sink that relays successful streams event by event. */
  #createSink(getRunning: () => RunningAttempt): AnswerSink {
    const { admitted: { route } } = this.#options;
    const sink = this.#relay.createSink((head) =>
      route.kind === "stream" && head.status < 300
    );
    return {
      ...sink,
      begin: (head) => {
        this.#preferAttempt(getRunning());
        sink.begin(head);
      },
    };
  }

  /** Records that bytes have arrived; returns whether the answer progressed. */
  #recordBytes(running: RunningAttempt): boolean {
    if (this.#options.admitted.route.kind !== "stream") return true;
    const hasProgressed = this.#relay.takeProgress();
    if (hasProgressed) this.#preferAttempt(running);
    return hasProgressed;
  }

  /** Cancels the other attempts once the answer of one progresses. */
  #preferAttempt(preferred: RunningAttempt): void {
    for (const running of [...this.#running]) {
      if (running === preferred) continue;
      this.#running.delete(running);
      running.cancel();
      this.#options.context.metrics.countAttempt("cancelled");
      this.#log("superseded", {
        runner: running.upstream.id,
        attempt: running.number,
        by: preferred.upstream.id,
      });
    }
  }

  #handleSilence(running: RunningAttempt, silence: Silence): void {
    this.#logSilence(running, silence);
    this.#tryTakeover();
  }

  #handleEnd(running: RunningAttempt, end: AttemptEnd): void {
    // Attempts that were cancelled are no longer under way.
    if (!this.#running.delete(running)) return;
    running.stop();
    const { admitted: { caller }, context } = this.#options;
    context.metrics.countAttempt(end.type);
    if (end.type === "answered") this.#lastAnswer = end;
    this.#wasRefused = end.type === "notRun";
    this.#observe(running, end);
    observePrompt(running, { caller, end }, context);
    const step = decideNext(end, this.#getProgress());
    this.#log("attempt-ended", {
      runner: running.upstream.id,
      attempt: running.number,
      step,
      ...describeEnd(end),
      ...describeBreak(end, running, {
        prompt: caller.prompt,
        nowMs: context.timers.nowMs(),
      }),
    });
    if (this.#running.size > 0 && !isSettled(step, end)) this.#tryTakeover();
    else this.#applyStep(step, end);
  }

  /** Updates the capacity forecast and the runner's health. */
  #observe({ isSilent, upstream }: RunningAttempt, end: AttemptEnd): void {
    const { admitted: { service }, context } = this.#options;
    if (end.type === "relayed" || end.type === "answered") {
      const forecast = context.getCapacityForecast(service);
      forecast.recordCompletion(context.timers.nowMs());
    }
    const outcome = getRunnerOutcome(end);
    // A silent attempt was counted as lost already.
    if (outcome === undefined || (outcome === "lost" && isSilent)) return;
    observeRunner(upstream, outcome, context);
  }

  #applyStep(step: NextStep, end: AttemptEnd): void {
    const { answer } = this.#options;
    switch (step) {
      case "repeat":
      case "resume":
        this.#tryNext();
        return;
      case "answer":
        if (end.type === "answered") answer.sendBuffered(end.head, end.body);
        break;
      case "refuse":
        this.#refuse("No runner accepted the request");
        break;
      case "fail":
        this.#fail("The runner's answer was missing or incomplete");
        break;
      case "breakOff":
        answer.breakOff();
        break;
      case "none":
        break;
    }
    this.#end();
  }

  /** Ends the request and cancels the attempts that are still under way. */
  #end(): void {
    this.#hasEnded = true;
    for (const running of this.#running) running.cancel();
    this.#running.clear();
    this.#finish();
  }

  /** Ends a request that is sent to no further runner. */
  #endWithoutRunner(reason: string): void {
    this.#log("gave-up", { reason, attempts: this.#attempts });
    const { answer } = this.#options;
    if (answer.hasBegun) answer.breakOff();
    else if (this.#runs > 0) {
      this.#fail("No further attempt was possible");
    } else this.#refuse("No runner is available");
    this.#end();
  }

  #refuse(message: string): void {
    const { admitted: { caller, service }, answer, context } = this.#options;
    const quarantined = context.promptGuard.findQuarantined(caller.prompt);
    if (quarantined !== undefined) {
      answer.sendError(createQuarantineError(quarantined));
      return;
    }
    const forecastMs = context.getCapacityForecast(service).recordRefusal({
      nowMs: context.timers.nowMs(),
      leftMs: Math.max(0, this.#getLeftMs()),
      random: context.random.getFloat(),
    });
    const retryAfterMs = forecastMs + getPauseLeftMs(service, context);
    answer.sendError(AppError.create("overloaded", message, { retryAfterMs }));
  }

  /** Reports a failure, with the last whole answer of a runner if any. */
  #fail(message: string, result: ResultName = "runnerFailed"): void {
    const { answer } = this.#options;
    const last = this.#lastAnswer;
    if (last !== undefined) answer.sendBuffered(last.head, last.body);
    else answer.sendError(AppError.create(result, message));
  }

  /** Sends the final answer when the deadline is reached. */
  #expire(): void {
    if (this.#hasEnded) return;
    const { answer } = this.#options;
    const mayHaveRun = this.#runs > 0;
    const silent = [...this.#running].filter(({ isAwaitingFirstByte }) =>
      isAwaitingFirstByte
    );
    this.#log("expired", {
      mayHaveRun,
      hasBegun: answer.hasBegun,
      wasSilent: silent.length > 0,
    });
    for (const running of silent) {
      if (!running.isSilent) running.recordLoss();
    }
    if (answer.hasBegun) answer.breakOff();
    else if (mayHaveRun) {
      this.#fail("No answer within the time limit", "deadlineExceeded");
    } else this.#refuse("Not sent within the time limit");
    this.#end();
  }

  /** Cancels the attempts of a caller that has disconnected. */
  #cancel(): void {
    // A response also emits `close` once all of it was sent.
    if (this.#hasEnded || this.#options.response.writableFinished) return;
    this.#end();
    this.#options.context.metrics.countDisconnectedCaller();
    this.#log("caller-left", { attempts: this.#attempts });
  }

  #getLeftMs(): number {
    const { admitted, context } = this.#options;
    return admitted.deadlineMs - context.timers.nowMs();
  }

  #logSent({ cacheSource, prefixId, upstream }: Placement): void {
    const nowMs = this.#options.context.timers.nowMs();
    this.#log("sent", {
      runner: upstream.id,
      attempt: this.#attempts,
      load: upstream.load.getEstimate(nowMs),
      failureShare: Number(upstream.health.getFailureShare(nowMs).toFixed(2)),
      leftMs: Math.round(this.#getLeftMs()),
      afterEvent: this.#relay.lastEventId,
      prefix: prefixId,
      cacheSource,
    });
  }

  #logSilence(
    running: RunningAttempt,
    { silentMs, timerDelayMs }: Silence,
  ): void {
    this.#log("silent", {
      runner: running.upstream.id,
      attempt: running.number,
      silentMs: Math.round(silentMs),
      timerDelayMs: Math.round(timerDelayMs),
      isAwaitingFirstByte: running.isAwaitingFirstByte,
      afterEvent: this.#relay.lastEventId,
    });
  }

  #log(event: string, fields: LogFields): void {
    this.#options.trace.record(event, fields);
  }
}
