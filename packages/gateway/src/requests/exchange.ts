import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError, type ResultName } from "@jasminetide/core/results";
import type { LatencyTracker } from "@jasminetide/core/retries";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import type { TimerSubscription } from "@jasminetide/core/timers";
import type { LogFields } from "@jasminetide/runtime/logging";
import { SilenceWatch } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallerRequest, RunnerAnswer } from "../protocol.ts";
import type { RequestTrace } from "../request_log.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { type AnswerSink, Attempt, type AttemptEnd } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { canRunAgain, decideNext, type NextStep } from "./decide_next.ts";
import { describeEnd, getRunnerOutcome, observeRunner } from "./observe_end.ts";
import { placeAttempt, type Placement } from "./place_attempt.ts";
import { getPauseLimitMs, getStartLimitMs } from "./silence_limits.ts";
import { StreamRelay } from "./stream_relay.ts";
import { selectForwarded } from "./forwarded_headers.ts";

/** A request that was found to be allowed. */
export type AdmittedRequest = {
  caller: CallerRequest;
  route: DeclaredRoute;
  service: string;
  workspace: string | undefined;
  /** Rank of the workspace or the route; 0 goes first. */
  priority: number;
  body: Buffer;
  /** When it must be answered, by the timer service. */
  deadlineMs: number;
};

/** What an exchange needs. */
export type ExchangeOptions = {
  context: GatewayContext;
  admitted: AdmittedRequest;
  request: IncomingMessage;
  response: ServerResponse;
  answer: CallerAnswer;
  trace: RequestTrace;
};

/** Brings one admitted request to runners until its caller is answered. */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #tried = new Set<string>();
  readonly #relay: StreamRelay;
  #attempt: Attempt | undefined;
  /** Runner of the present attempt. */
  #upstream: Upstream | undefined;
  #attemptStartedAtMs = 0;
  #silence: SilenceWatch | undefined;
  #sentAtMs = 0;
  #isFirstByte = true;
  #attempts = 0;
  #wasRefused = false;
  #runs = 0;
  #isOver = false;
  #lastAnswer: Extract<AttemptEnd, { type: "answered" }> | undefined;

  private constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#relay = StreamRelay.create(options.answer);
  }

  /** Serves a request; resolves when its caller was answered or has left. */
  static async serve(options: ExchangeOptions): Promise<void> {
    const exchange = new Exchange(options);
    const { admitted, context, response } = options;
    response.once("close", () => exchange.#abandon());
    const limit: TimerSubscription = context.timers.schedule(
      admitted.deadlineMs - context.timers.nowMs(),
      () => exchange.#expire(),
    );
    await exchange.#run();
    limit[Symbol.dispose]();
  }

  async #run(): Promise<void> {
    const { context } = this.#options;
    let step: NextStep = "repeat";
    while (!this.#isOver && (step === "repeat" || step === "resume")) {
      const placement = this.#place();
      if (placement === undefined || !this.#takeRepeat()) {
        this.#giveUp(placement === undefined ? "no runner" : "no budget");
        return;
      }
      if (this.#attempts > 0) context.metrics.countRepeat();
      const end = await this.#try(placement);
      context.metrics.countAttempt(end.type);
      this.#silence?.[Symbol.dispose]();
      if (this.#isOver) return;
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

  #place(): Placement | undefined {
    const { admitted: { caller, service }, context } = this.#options;
    const tried = this.#tried;
    const wasRefused = this.#wasRefused;
    return placeAttempt({ caller, service, tried, wasRefused }, context);
  }

  /** Takes a repeat from the budget; the first send is no repeat. */
  #takeRepeat(): boolean {
    const { admitted, context } = this.#options;
    const budget = context.getRepeatBudget(admitted.service);
    const nowMs = context.timers.nowMs();
    if (this.#attempts === 0) {
      budget.recordRequest(nowMs);
      return true;
    }
    const isTaken = budget.tryTake(nowMs, context.countRouters());
    if (!isTaken) context.metrics.countRefusedRepeat();
    return isTaken;
  }

  #try({ cacheSource, upstream }: Placement): Promise<AttemptEnd> {
    const { admitted, context, request } = this.#options;
    this.#attempts += 1;
    this.#upstream = upstream;
    this.#attemptStartedAtMs = context.timers.nowMs();
    this.#tried.add(upstream.id);
    const { lastEventId } = this.#relay;
    this.#attempt = Attempt.create({
      upstream,
      attemptId: admitted.caller.attemptId,
      protocol: context.protocol,
      request: {
        method: request.method ?? "GET",
        target: request.url ?? "/",
        headers: context.protocol.formatRunnerHeaders(
          selectForwarded(request.rawHeaders, { without: ["content-length"] }),
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
        this.#watchSilence();
      },
      onAnswer: (answer) => this.#takeAnswer(upstream, answer),
      onHeard: () => this.#recordHeard(),
    });
    const nowMs = context.timers.nowMs();
    this.#log("sent", {
      runner: upstream.id,
      attempt: this.#attempts,
      load: upstream.load.getEstimate(nowMs),
      failureShare: Number(upstream.health.getFailureShare(nowMs).toFixed(2)),
      leftMs: Math.round(this.#getLeftMs()),
      afterEvent: lastEventId,
      cacheSource,
    });
    return this.#attempt.ended;
  }

  #takeAnswer(upstream: Upstream, answer: RunnerAnswer): void {
    if (answer.isNotRun) this.#runs -= 1;
    if (answer.load === undefined) return;
    upstream.load.observe(answer.load, this.#options.context.timers.nowMs());
  }

  /** Takes in that bytes of the answer have come. */
  #recordHeard(): void {
    const { admitted: { route }, context } = this.#options;
    if (this.#isFirstByte) {
      this.#isFirstByte = false;
      const nowMs = context.timers.nowMs();
      const durationMs = nowMs - this.#sentAtMs;
      this.#getFirstByteTimes().record(durationMs, nowMs);
      context.metrics.recordFirstByte(route.kind, durationMs);
      this.#silence?.setLimit(getPauseLimitMs(route));
    }
    this.#silence?.record();
  }

  #getFirstByteTimes(): LatencyTracker {
    const { admitted: { route, service }, context } = this.#options;
    return context.getFirstByteTimes(service, route.kind);
  }

  /** Watches a runner whose part another one could take over. */
  #watchSilence(): void {
    const { admitted: { route }, context: { timers } } = this.#options;
    this.#sentAtMs = timers.nowMs();
    this.#isFirstByte = true;
    if (!canRunAgain(this.#getProgress())) return;
    const limitMs = getStartLimitMs(this.#getFirstByteTimes(), {
      goalMs: route.goalMs,
      kind: route.kind,
      nowMs: this.#sentAtMs,
    });
    this.#silence = SilenceWatch.create({
      timers,
      limitMs,
      onSilence: () => {
        this.#closeOldConnections();
        this.#attempt?.giveUp("silent for too long");
      },
    });
  }

  /** Passes on successful streams event by event. */
  #createSink(): AnswerSink {
    const { admitted: { route } } = this.#options;
    return this.#relay.createSink((head) =>
      route.kind === "stream" && head.status < 300
    );
  }

  #observe(upstream: Upstream, end: AttemptEnd): void {
    const { admitted: { service }, context } = this.#options;
    if (end.type === "relayed" || end.type === "answered") {
      const forecast = context.getRoomForecast(service);
      forecast.recordFreed(context.timers.nowMs());
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
        if (end.type === "answered") answer.sendWhole(end.head, end.body);
        break;
      case "refuse":
        this.#refuse("No runner took the request");
        break;
      case "fail":
        this.#fail("The runner gave no whole answer");
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
    this.#isOver = true;
  }

  /** Ends a request that no further runner is tried for. */
  #giveUp(reason: string): void {
    this.#log("gave-up", { reason, attempts: this.#attempts });
    this.#isOver = true;
    const { answer } = this.#options;
    if (answer.hasBegun) answer.breakOff();
    else if (this.#runs > 0) this.#fail("No other runner could be tried");
    else this.#refuse("No runner is free");
  }

  #refuse(message: string): void {
    const { admitted: { service }, answer, context } = this.#options;
    const retryAfterMs = context.getRoomForecast(service).refuse({
      nowMs: context.timers.nowMs(),
      leftMs: Math.max(0, this.#getLeftMs()),
      random: context.random.getFloat(),
    });
    answer.sendError(AppError.create("overloaded", message, { retryAfterMs }));
  }

  /** Tells of a failure: with a runner's own answer where there is one. */
  #fail(message: string, result: ResultName = "runnerFailed"): void {
    const { answer } = this.#options;
    const last = this.#lastAnswer;
    if (last !== undefined) answer.sendWhole(last.head, last.body);
    else answer.sendError(AppError.create(result, message));
  }

  /** Gives the final answer when the time limit is reached. */
  #expire(): void {
    if (this.#isOver) return;
    const { answer } = this.#options;
    const mayHaveRun = this.#runs > 0;
    this.#isOver = true;
    this.#silence?.[Symbol.dispose]();
    this.#attempt?.cancel();
    this.#log("expired", {
      mayHaveRun,
      hasBegun: answer.hasBegun,
      wasSilent: this.#isFirstByte,
    });
    if (this.#isFirstByte) this.#recordSilence();
    if (answer.hasBegun) answer.breakOff();
    else if (mayHaveRun) {
      this.#fail("No answer within the time limit", "deadlineExceeded");
    } else this.#refuse("Not sent within the time limit");
  }

  /** Takes in that a runner let a whole request pass without a byte. */
  #recordSilence(): void {
    if (this.#upstream === undefined) return;
    this.#closeOldConnections();
    observeRunner(this.#upstream, "lost", this.#options.context);
  }

  /** Closes the runner's connections that were idle before this attempt. */
  #closeOldConnections(): void {
    this.#upstream?.connections.closeIdleSince(this.#attemptStartedAtMs);
  }

  /** Withdraws the request of a caller that has left. */
  #abandon(): void {
    // A connection also closes for the exchange once all of it was sent.
    if (this.#isOver || this.#options.response.writableFinished) return;
    this.#isOver = true;
    this.#silence?.[Symbol.dispose]();
    this.#attempt?.cancel();
    this.#options.context.metrics.countLeft();
    this.#log("caller-left", { attempts: this.#attempts });
  }

  #getLeftMs(): number {
    const { admitted, context } = this.#options;
    return admitted.deadlineMs - context.timers.nowMs();
  }

  #log(event: string, fields: LogFields): void {
    this.#options.trace.record(event, fields);
  }
}
