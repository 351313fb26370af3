import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResultName } from "@jasminetide/core/results";
import type { LogFields } from "@jasminetide/runtime/logging";
import { subscribeToLeaving } from "@jasminetide/runtime/http";
import type { Silence } from "@jasminetide/runtime/streams";
import type { GatewayContext } from "../gateway_context.ts";
import type { SuspectRequest } from "../quarantine/mod.ts";
import type { RequestTrace } from "../request_log.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { AttemptEnd } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import {
  canTakeOver,
  decideNext,
  isRepeatable,
  isSettled,
  type NextStep,
} from "./decide_next.ts";
import {
  describeAttempt,
  describePlacement,
  describeSilence,
} from "./describe_attempt.ts";
import {
  failRequest,
  refuseRequest,
  type WholeAnswer,
} from "./final_answer.ts";
import { formatRunnerRequest } from "./format_runner_request.ts";
import { Hedge } from "./hedge.ts";
import {
  describeBreak,
  describeEnd,
  observeCrash,
  observeOutcome,
} from "./observe_end.ts";
import {
  placeAttempt,
  type Placement,
  type PlacementOptions,
  trySend,
} from "./place_attempt.ts";
import { RelayedVersion } from "./relayed_version.ts";
import { createRequestKey } from "./request_key.ts";
import { RunningAttempt } from "./running_attempt.ts";
import { RunningAttempts } from "./running_attempts.ts";
import { AttemptStream, StreamRelay } from "./stream_relay.ts";
import { takeRetry } from "./take_retry.ts";

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
 * runner is silent, or a lookup is late, another one is tried as well; the first
 * whose answer progresses goes on with the request, and the others are cancelled.
 */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #triedIds = new Set<string>();
  /** Those of them that refused the request as not run. */
  readonly #refusedIds = new Set<string>();
  readonly #relay: StreamRelay;
  readonly #version: RelayedVersion;
  /** The request as the quarantine knows it. */
  #suspect: SuspectRequest;
  readonly #running: RunningAttempts;
  readonly #hedge: Hedge;
  readonly #finished: Promise<void>;
  #finish: () => void = () => {};
  #reject: (thrown: unknown) => void = () => {};
  #attempts = 0;
  /** Attempts that were withdrawn before they were sent. */
  #withdrawals = 0;
  /** Whether the runner refused the last attempt as not run. */
  #wasRefused = false;
  /** Attempts in which the request may have run. */
  #runs = 0;
  #hasEnded = false;
  #lastAnswer: WholeAnswer | undefined;

  private constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#version = RelayedVersion.create(options);
    const { admitted, context: { metrics }, request, trace } = options;
    const { caller, route } = admitted;
    this.#relay = StreamRelay.create(
      options.answer,
      route.isResumable ? caller.takeUp?.lastEventId : undefined,
    );
    this.#running = RunningAttempts.create({ trace, metrics });
    this.#hedge = Hedge.create({
      ...options,
      start: (triedIds) => this.#tryHedge(triedIds),
      run: (step) => this.#run(step),
    });
    this.#suspect = {
      caller: admitted.caller,
      requestKey: createRequestKey(admitted, request),
    };
    this.#finished = new Promise((resolve, reject) => {
      this.#finish = resolve;
      this.#reject = reject;
    });
  }

  /**
   * Serves a request; resolves when its caller is answered or disconnects.
   *
   * @throws what was thrown while it was handled; its attempts are cancelled.
   */
  static async serve(options: ExchangeOptions): Promise<void> {
    const exchange = new Exchange(options);
    const { admitted, context, request } = options;
    using _leaving = subscribeToLeaving(
      request.socket,
      () => exchange.#cancel(),
    );
    using _deadline = context.timers.schedule(
      admitted.deadlineMs - context.timers.nowMs(),
      () => exchange.#run(() => exchange.#expire()),
    );
    using _graceEnd = context.graceEnd.subscribe(
      () => exchange.#run(() => exchange.#expire()),
    );
    exchange.#run(() => exchange.#tryNext());
    await exchange.#finished;
  }

  /** Runs a step; if it throws, the request ends with what was thrown. */
  #run(step: () => void): void {
    try {
      step();
    } catch (thrown) {
      this.#reject(thrown);
      this.#end();
    }
  }

  #getProgress() {
    const { answer, admitted: { route } } = this.#options;
    return {
      kind: route.kind,
      isResumable: route.isResumable && this.#relay.canGoOn,
      hasBegun: answer.hasBegun,
      runs: this.#runs,
      maxRuns: route.maxAttempts,
      attempts: this.#attempts,
    };
  }

  /** Starts the next attempt, or ends the request if there is none to start. */
  #tryNext(): void {
    // A runner that has just refused has no capacity a moment later either.
    const reason = this.#startAttempt({
      mayReturn: !this.#wasRefused,
      mayQueue: this.#runs > 0,
    });
    if (reason !== undefined) this.#endWithoutRunner(reason);
  }

  /** Tries another runner while all that were tried are silent. */
  #tryTakeover(): void {
    if (!this.#running.areSilent) return;
    // A runner where requests wait and that answers others is not lost.
    const { timers } = this.#options.context;
    const mayQueue = !this.#running.hasQueue(timers.nowMs());
    const reason = canTakeOver(this.#getProgress())
      ? this.#startAttempt({ mayReturn: false, mayQueue })
      : "no attempt left";
    if (reason !== undefined) this.#log("kept-waiting", { reason });
  }

  /** Tries another runner beside the first, which is late. */
  #tryHedge(triedIds: ReadonlySet<string>): string | undefined {
    if (this.#attempts > 1) return "another attempt under way";
    if (!canTakeOver(this.#getProgress())) return "no attempt left";
    return this.#startAttempt({ mayReturn: false, mayQueue: false, triedIds });
  }

  /** Starts an attempt; returns the reason if none can be started. */
  #startAttempt(
    { mayQueue, mayReturn, triedIds = this.#triedIds }:
      & Pick<PlacementOptions, "mayQueue" | "mayReturn">
      & Partial<Pick<PlacementOptions, "triedIds">>,
  ): string | undefined {
    const { admitted: { caller, route, service }, context } = this.#options;
    const quarantined = context.crashGuard.findQuarantined(this.#suspect);
    const isOnTrial = quarantined !== undefined && this.#attempts === 0 &&
      context.crashGuard.trials.isDue(this.#suspect);
    if (quarantined !== undefined && !isOnTrial) {
      context.metrics.countQuarantineRefusal();
      return `quarantined ${quarantined.partId}`;
    }
    const placement = placeAttempt(
      {
        caller,
        service,
        goalMs: route.goalMs,
        softwareVersion: this.#version.current,
        triedIds,
        mayReturn,
        mayQueue,
      },
      context,
    );
    if (placement === undefined) return "no runner available";
    const attempts = this.#attempts - this.#withdrawals;
    if (!takeRetry({ attempts, service }, context)) {
      return "retry budget exhausted";
    }
    if (isOnTrial) {
      const triedPartIds = context.crashGuard.trials.recordSend(this.#suspect);
      this.#suspect = { ...this.#suspect, triedPartIds };
    }
    const running = this.#createAttempt(placement);
    this.#running.add(running);
    void running.ended.then((end) =>
      this.#run(() => this.#handleEnd(running, end))
    );
    return undefined;
  }

  #createAttempt(placement: Placement): RunningAttempt {
    const { admitted, context } = this.#options;
    const { upstream } = placement;
    this.#attempts += 1;
    this.#triedIds.add(upstream.id);
    const placedAtMs = context.timers.nowMs();
    upstream.availability.recordSend(placedAtMs);
    const running: RunningAttempt = RunningAttempt.create({
      upstream,
      number: this.#attempts,
      attemptId: admitted.caller.attemptId,
      request: formatRunnerRequest({
        ...this.#options,
        placement,
        leftMs: this.#getLeftMs(),
        lastEventId: this.#relay.lastEventId,
      }, context),
      route: admitted.route,
      service: admitted.service,
      stream: this.#createStream(() => running),
      context,
      isReplaceable: isRepeatable(admitted.route),
      onSent: () => {
        this.#runs += 1;
        this.#hedge.recordSent(running);
      },
      onNotRun: () => this.#runs -= 1,
      prepareSend: () => this.#version.prepareSend(upstream),
      maySend: () => trySend(upstream, { placedAtMs }, context),
      onSilence: (silence) =>
        this.#run(() => this.#handleSilence(running, silence)),
    });
    this.#log("sent", {
      ...describePlacement(placement, context.timers.nowMs()),
      attempt: this.#attempts,
      leftMs: Math.round(this.#getLeftMs()),
      afterEvent: this.#relay.lastEventId,
    });
    return running;
  }

  /** Creates a stream that relays successful answers event by event. */
  #createStream(getRunning: () => RunningAttempt): AttemptStream {
    const { admitted: { route }, context: { timers } } = this.#options;
    return AttemptStream.create({
      relay: this.#relay,
      isStream: route.kind === "stream",
      onBegin: () => {
        if (this.#running.size === 1) return true;
        timers.schedule(maxOverlapMs, () => this.#running.prefer(getRunning()));
        return false;
      },
      onEvents: () => this.#running.prefer(getRunning()),
    });
  }

  #handleSilence(running: RunningAttempt, silence: Silence): void {
    this.#log("silent", {
      ...describeSilence(running, silence),
      afterEvent: this.#relay.lastEventId,
    });
    // Runners that refused the request may have capacity by now.
    for (const id of this.#refusedIds) this.#triedIds.delete(id);
    this.#refusedIds.clear();
    this.#tryTakeover();
  }

  #handleEnd(running: RunningAttempt, end: AttemptEnd): void {
    // Attempts that were cancelled are no longer under way.
    if (!this.#running.remove(running)) return;
    running.stop();
    this.#hedge.recordEnd(running, end);
    const { admitted: { service }, context } = this.#options;
    context.metrics.countAttempt(end.type);
    if (end.type === "answered") this.#lastAnswer = end;
    if (end.type === "withdrawn") this.#withdrawals += 1;
    this.#wasRefused = end.type === "notRun";
    if (this.#wasRefused) this.#refusedIds.add(running.upstream.id);
    observeOutcome(running, { end, service }, context);
    const suspect = this.#suspect;
    observeCrash(running, { ...suspect, end }, context);
    const step = decideNext(end, this.#getProgress());
    this.#log("attempt-ended", {
      ...describeAttempt(running),
      step,
      ...describeEnd(end),
      ...describeBreak(end, running, {
        ...suspect,
        nowMs: context.timers.nowMs(),
      }),
    });
    if (this.#running.size > 0 && !isSettled(step, end)) this.#tryTakeover();
    else this.#applyStep(step, end);
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
        if (end.type === "relayed") this.#version.recordComplete();
        break;
    }
    this.#end();
  }

  /** Ends the request and cancels the attempts that are still under way. */
  #end(): void {
    this.#hasEnded = true;
    this.#hedge[Symbol.dispose]();
    this.#running.cancel();
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
    const leftMs = this.#getLeftMs();
    refuseRequest(message, {
      ...this.#options,
      suspect: this.#suspect,
      leftMs,
    });
  }

  #fail(message: string, result: ResultName = "runnerFailed"): void {
    const last = this.#lastAnswer;
    failRequest(this.#options.answer, { message, result, last });
  }

  /** Sends the final answer when the deadline or the end of a stop is reached. */
  #expire(): void {
    if (this.#hasEnded) return;
    const { answer } = this.#options;
    const mayHaveRun = this.#runs > 0;
    // Later attempts had less time, so their silence says little.
    const { first } = this.#running;
    const wasSilent = first?.isAwaitingFirstByte ?? false;
    this.#log("expired", { mayHaveRun, hasBegun: answer.hasBegun, wasSilent });
    if (wasSilent && first?.isSilent === false) first.recordLoss();
    if (answer.hasBegun) answer.breakOff();
    else if (mayHaveRun) {
      this.#fail("No answer in time", "deadlineExceeded");
    } else this.#refuse("Not sent in time");
    this.#end();
  }

  /** Cancels the attempts of a caller that has disconnected. */
  #cancel(): void {
    if (this.#hasEnded) return;
    this.#end();
    this.#options.context.metrics.countDisconnectedCaller();
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

/**
 * Time from the head of a stream until the other attempts are cancelled, if no
 * event follows, so that a request does not run at two runners for long.
 */
const maxOverlapMs = 250;
