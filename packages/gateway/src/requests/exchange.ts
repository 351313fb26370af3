import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError, type ResultName } from "@jasminetide/core/results";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import type { TimerSubscription } from "@jasminetide/core/timers";
import type { LogFields } from "@jasminetide/runtime/logging";
import type { Silence } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallerRequest, RunnerAnswer } from "../protocol.ts";
import type { RequestTrace } from "../request_log.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { AnswerSilence } from "./answer_silence.ts";
import { type AnswerSink, Attempt, type AttemptEnd } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { canRunAgain, decideNext, type NextStep } from "./decide_next.ts";
import {
  describeEnd,
  getRunnerOutcome,
  observeAvailability,
  observeRunner,
} from "./observe_end.ts";
import {
  getPauseLeftMs,
  placeAttempt,
  type Placement,
} from "./place_attempt.ts";
import { StreamRelay } from "./stream_relay.ts";
import { selectForwardedHeaders } from "./forwarded_headers.ts";

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

/** Sends one admitted request to runners until its caller is answered. */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #triedIds = new Set<string>();
  readonly #relay: StreamRelay;
  #attempt: Attempt | undefined;
  /** Runner of the current attempt. */
  #upstream: Upstream | undefined;
  #attemptStartedAtMs = 0;
  readonly #silence: AnswerSilence;
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
    const { admitted: { route, service }, context } = options;
    this.#silence = AnswerSilence.create({
      route,
      service,
      context,
      onSilence: (silence) => {
        this.#logSilence(silence);
        this.#closeOldConnections();
        this.#attempt?.fail("no bytes within the silence limit");
      },
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
    await exchange.#run();
    deadline[Symbol.dispose]();
  }

  async #run(): Promise<void> {
    const { context } = this.#options;
    let step: NextStep = "repeat";
    while (!this.#hasEnded && (step === "repeat" || step === "resume")) {
      const placement = this.#placeAttempt();
      if (placement === undefined || !this.#takeRetry()) {
        this.#endWithoutRunner(
          placement === undefined
            ? "no runner available"
            : "retry budget exhausted",
        );
        return;
      }
      if (this.#attempts > 0) context.metrics.countRetry();
      const end = await this.#runAttempt(placement);
      context.metrics.countAttempt(end.type);
      this.#silence.stop();
      if (this.#hasEnded) return;
      step = decideNext(end, this.#getProgress());
      this.#observe(placement.upstream, end);
      this.#applyStep(step, end);
    }
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

  #placeAttempt(): Placement | undefined {
    const { admitted: { caller, service }, context } = this.#options;
    const triedIds = this.#triedIds;
    const wasRefused = this.#wasRefused;
    return placeAttempt({ caller, service, triedIds, wasRefused }, context);
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

  #runAttempt(
    { cacheSource, prefixId, upstream }: Placement,
  ): Promise<AttemptEnd> {
    const { admitted, context, request } = this.#options;
    this.#attempts += 1;
    this.#upstream = upstream;
    this.#attemptStartedAtMs = context.timers.nowMs();
    this.#triedIds.add(upstream.id);
    const { lastEventId } = this.#relay;
    this.#attempt = Attempt.create({
      upstream,
      attemptId: admitted.caller.attemptId,
      protocol: context.protocol,
      request: {
        method: request.method ?? "GET",
        target: request.url ?? "/",
        headers: context.protocol.formatRunnerHeaders(
          selectForwardedHeaders(request.rawHeaders, {
            without: ["content-length"],
          }),
          {
            runnerId: upstream.id,
            timeoutMs: Math.max(1, Math.floor(this.#getLeftMs())),
            workspace: admitted.workspace,
            priority: admitted.priority,
            lastEventId,
            cacheSource,
          },
        ),
        body: admitted.body,
      },
      sink: this.#createSink(),
      onSent: () => {
        this.#runs += 1;
        this.#silence.recordSent(canRunAgain(this.#getProgress()));
      },
      onAnswerHead: (answer) => observeAvailability(upstream, answer, context),
      onAnswer: (answer) => this.#handleAnswer(upstream, answer),
      onBytes: () => this.#recordBytes(),
    });
    const nowMs = context.timers.nowMs();
    this.#log("sent", {
      runner: upstream.id,
      attempt: this.#attempts,
      load: upstream.load.getEstimate(nowMs),
      failureShare: Number(upstream.health.getFailureShare(nowMs).toFixed(2)),
      leftMs: Math.round(this.#getLeftMs()),
      afterEvent: lastEventId,
      prefix: prefixId,
      cacheSource,
    });
    return this.#attempt.ended;
  }

  #handleAnswer(upstream: Upstream, answer: RunnerAnswer): void {
    if (answer.isNotRun) this.#runs -= 1;
    if (answer.load === undefined) return;
    upstream.load.observe(answer.load, this.#options.context.timers.nowMs());
  }

  /** Records that bytes of the answer have arrived. */
  #recordBytes(): void {
    const { admitted: { route } } = this.#options;
    const isStream = route.kind === "stream";
    this.#silence.recordBytes(!isStream || this.#relay.takeProgress());
  }

  /** Creates a sink that relays successful streams event by event. */
  #createSink(): AnswerSink {
    const { admitted: { route } } = this.#options;
    return this.#relay.createSink((head) =>
      route.kind === "stream" && head.status < 300
    );
  }

  /** Updates the capacity forecast and the runner's health. */
  #observe(upstream: Upstream, end: AttemptEnd): void {
    const { admitted: { service }, context } = this.#options;
    if (end.type === "relayed" || end.type === "answered") {
      const forecast = context.getCapacityForecast(service);
      forecast.recordCompletion(context.timers.nowMs());
    }
    const outcome = getRunnerOutcome(end);
    if (outcome !== undefined) observeRunner(upstream, outcome, context);
  }

  #applyStep(step: NextStep, end: AttemptEnd): void {
    const { answer } = this.#options;
    this.#log("attempt-ended", { step, ...describeEnd(end) });
    if (end.type === "answered") this.#lastAnswer = end;
    this.#wasRefused = end.type === "notRun";
    switch (step) {
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
      case "resume":
        this.#relay.dropPartial();
        return;
      case "repeat":
        return;
      case "none":
        break;
    }
    this.#hasEnded = true;
  }

  /** Ends a request that is sent to no further runner. */
  #endWithoutRunner(reason: string): void {
    this.#log("gave-up", { reason, attempts: this.#attempts });
    this.#hasEnded = true;
    const { answer } = this.#options;
    if (answer.hasBegun) answer.breakOff();
    else if (this.#runs > 0) {
      this.#fail("No further attempt was possible");
    } else this.#refuse("No runner is available");
  }

  #refuse(message: string): void {
    const { admitted: { service }, answer, context } = this.#options;
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
    this.#hasEnded = true;
    this.#silence.stop();
    this.#attempt?.cancel();
    this.#log("expired", {
      mayHaveRun,
      hasBegun: answer.hasBegun,
      wasSilent: this.#silence.isAwaitingFirstByte,
    });
    if (this.#silence.isAwaitingFirstByte) this.#recordSilence();
    if (answer.hasBegun) answer.breakOff();
    else if (mayHaveRun) {
      this.#fail("No answer within the time limit", "deadlineExceeded");
    } else this.#refuse("Not sent within the time limit");
  }

  /** Records that a runner sent no byte before the deadline. */
  #recordSilence(): void {
    if (this.#upstream === undefined) return;
    this.#closeOldConnections();
    observeRunner(this.#upstream, "lost", this.#options.context);
  }

  /** Closes the runner's connections idle since before this attempt. */
  #closeOldConnections(): void {
    this.#upstream?.connections.closeIdleSince(this.#attemptStartedAtMs);
  }

  /** Cancels the attempt of a caller that has disconnected. */
  #cancel(): void {
    // A response also emits `close` once all of it was sent.
    if (this.#hasEnded || this.#options.response.writableFinished) return;
    this.#hasEnded = true;
    this.#silence.stop();
    this.#attempt?.cancel();
    this.#options.context.metrics.countDisconnectedCaller();
    this.#log("caller-left", { attempts: this.#attempts });
  }

  #logSilence({ silentMs, timerDelayMs }: Silence): void {
    this.#log("silent", {
      runner: this.#upstream?.id,
      attempt: this.#attempts,
      silentMs: Math.round(silentMs),
      timerDelayMs: Math.round(timerDelayMs),
      isAwaitingFirstByte: this.#silence.isAwaitingFirstByte,
      afterEvent: this.#relay.lastEventId,
    });
  }

  #getLeftMs(): number {
    const { admitted, context } = this.#options;
    return admitted.deadlineMs - context.timers.nowMs();
  }

  #log(event: string, fields: LogFields): void {
    this.#options.trace.record(event, fields);
  }
}
