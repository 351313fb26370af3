import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { TaskObserver } from "@jasminetide/core/admission";
import type { Settings } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import type { RunnerKind } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import type { Metrics } from "@jasminetide/runtime/metrics";
import {
  endMarkEvent,
  EventTracker,
  SilenceWatch,
  subscribeAbort,
} from "@jasminetide/runtime/streams";
import type { Dispatcher } from "undici";
import type { StoredAttempt } from "./attempt_store.ts";
import { findComputedTokens } from "./answer_usage.ts";

/** A request as it is sent to the runner. */
export type RunnerRequest = {
  id: string;
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  /** Requests with a lower number are served first. */
  priority: number;
  body: Uint8Array;
  deadlineMs: number;
};

/** Dependencies of a running attempt. */
export type RunOptions = {
  runner: Dispatcher;
  kind: RunnerKind;
  observer: TaskObserver;
  timers: TimerService;
  metrics: Metrics;
  stream: Settings["stream"];
};

/** Request headers for engines. */
export const engineHeaders = {
  /** Identifier by which the request can be cancelled. */
  requestId: "x-request-id",
  /** Requests with a lower number are served first. */
  priority: "x-priority",
  /** Number of answer tokens that the reader already has. */
  resumeTokens: "x-resume-tokens",
} as const;

/** Bytes at the end of an answer that are searched for the token usage. */
const usageTailBytes = 1024;

/**
 * Sends a request to the runner and buffers the answer while it arrives. A
 * stream that breaks or stalls is resumed on a new connection, at the token
 * after the last complete one.
 *
 * @returns the tokens that the runner computed, if the answer reports them.
 */
export async function runAttempt(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: RunOptions,
): Promise<number | undefined> {
  using _deadline = options.timers.schedule(request.deadlineMs, () => {
    attempt.abort.abort(
      AppError.create(
        "deadlineExceeded",
        "Runner did not answer before the deadline",
      ),
    );
  });
  const run: AttemptRun = {
    attempt,
    request,
    options,
    signal: attempt.abort.signal,
    tracker: EventTracker.create(),
    isStream: false,
    tail: "",
    resumes: 0,
  };
  for (;; run.resumes++) {
    try {
      await pumpAnswer(run);
      attempt.answer.complete();
      return findComputedTokens(run.tail);
    } catch (error) {
      if (canResume(run)) {
        options.metrics.count("engine-streams-resumed");
        continue;
      }
      attempt.answer.fail(createFailure(run, error));
      return undefined;
    }
  }
}

/** State of an attempt across its connections to the runner. */
type AttemptRun = {
  attempt: StoredAttempt;
  request: RunnerRequest;
  options: RunOptions;
  signal: AbortSignal;
  tracker: EventTracker;
  isStream: boolean;
  tail: string;
  /** Number of times that it was resumed. */
  resumes: number;
};

async function pumpAnswer(run: AttemptRun): Promise<void> {
  const connection = new AbortController();
  using _cancel = subscribeAbort(
    run.signal,
    () => connection.abort(run.signal.reason),
  );
  using watch = SilenceWatch.create({
    timers: run.options.timers,
    limitMs: getSilenceLimitMs(run),
    onSilence: () => connection.abort(createSilenceError()),
  });
  const response = await sendToRunner(run, connection.signal);
  const isStream = String(response.headers["content-type"])
    .startsWith("text/event-stream");
  if (!run.isStream) {
    run.isStream = isStream;
    run.attempt.answer.begin({
      status: response.statusCode,
      headers: copyForwardedHeaders(response.headers),
    });
  } else if (!isStream) {
    throw AppError.create("streamInterrupted", "Runner did not resume");
  }
  if (isStream) {
    watch.setLimit(getSilenceLimitMs(run));
    await pumpEvents(run, response, watch);
  } else await pumpBytes(run, response);
}

function sendToRunner(
  run: AttemptRun,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  const { options, request } = run;
  return options.runner.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: {
      ...copyForwardedHeaders(request.headers),
      ...(options.kind === "engine" ? createEngineHeaders(run) : {}),
    },
    body: request.body.length === 0 ? null : request.body,
    signal,
  });
}

function createEngineHeaders(run: AttemptRun): { [name: string]: string } {
  const resumeTokens = getPriorTokens(run) + run.tracker.tokens;
  return {
    [engineHeaders.requestId]: run.request.id,
    [engineHeaders.priority]: String(run.request.priority),
    ...(resumeTokens > 0
      ? { [engineHeaders.resumeTokens]: String(resumeTokens) }
      : {}),
  };
}

/** Gets the number of tokens that another runner sent before this attempt. */
function getPriorTokens(run: AttemptRun): number {
  return Number(run.request.headers[engineHeaders.resumeTokens] ?? "0");
}

async function pumpEvents(
  run: AttemptRun,
  response: Dispatcher.ResponseData,
  watch: SilenceWatch,
): Promise<void> {
  const { attempt, options, tracker } = run;
  tracker.dropPartial();
  for await (const chunk of response.body) {
    watch.recordActivity();
    const before = tracker.tokens;
    const events = tracker.append(chunk as Buffer);
    if (events.length === 0) continue;
    options.observer.observeTokens(tracker.tokens - before);
    run.tail = keepTail(run.tail, events);
    await attempt.answer.append(events);
    watch.recordActivity();
  }
  switch (tracker.getProgress()) {
    case "open":
      throw AppError.create("streamInterrupted", "Stream has no end mark");
    case "finished":
      await attempt.answer.append(endMarkEvent);
      return;
    case "ended":
      return;
  }
}

async function pumpBytes(
  run: AttemptRun,
  response: Dispatcher.ResponseData,
): Promise<void> {
  for await (const chunk of response.body) {
    run.tail = keepTail(run.tail, chunk as Buffer);
    await run.attempt.answer.append(chunk as Buffer);
  }
}

function keepTail(tail: string, bytes: Buffer): string {
  return (tail + bytes.toString("latin1")).slice(-usageTailBytes);
}

/** Checks whether the answer is a stream that may be resumed. */
function canResume(run: AttemptRun): boolean {
  return run.isStream && run.attempt.isIdempotent && !run.signal.aborted &&
    run.resumes < run.options.stream.maximumResumes;
}

/**
 * Gets how long the runner may be silent. A stream that cannot resume is given
 * up only at its deadline, since its runner may go on.
 */
function getSilenceLimitMs(run: AttemptRun): number {
  return canResume(run)
    ? run.options.stream.betweenChunksMs
    : run.request.deadlineMs;
}

function createSilenceError(): AppError {
  return AppError.create(
    "runnerFailed",
    "Runner sent no data within the timeout",
  );
}

function createFailure(run: AttemptRun, thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown;
  const { signal } = run;
  if (signal.aborted && signal.reason instanceof AppError) return signal.reason;
  return AppError.create(
    "runnerFailed",
    "Runner failed before its answer was complete",
    { cause: thrown },
  );
}
