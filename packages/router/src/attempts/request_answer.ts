import { AppError } from "@jasminetide/core/results";
import { formatEnvelope, headerNames } from "@jasminetide/runtime/exchange";
import { SilenceWatch, subscribeAbort } from "@jasminetide/runtime/streams";
import type { Dispatcher, Pool } from "undici";
import type { AnswerStart, Attempt, AttemptContext } from "./attempt.ts";

/** Connection pool and content of a request for an answer. */
export type RequestAnswerOptions = {
  pool: Pool;
  method: string;
  path: string;
  headers: { [name: string]: string | string[] };
  body?: Uint8Array;
};

/** Longest time between heartbeats of a sidecar that waits for its runner. */
const heartbeatTimeoutMs = 2000;

/**
 * Sends the request of an attempt and waits for the head of its answer.
 *
 * @throws AppError `runnerUnreachable` when nothing was sent, `runnerFailed`
 * when the connection failed or went silent, `deadlineExceeded`, `callerGone`,
 * or `answerMismatch`.
 */
export function requestAnswer(
  attempt: Attempt,
  context: AttemptContext,
): Promise<AnswerStart> {
  const remainingMs = attempt.deadlineAtMs - context.timers.nowMs();
  return requestHead(attempt, context, {
    pool: context.connections.get(attempt.runner.dataAddress),
    method: attempt.request.method,
    path: attempt.request.path,
    headers: {
      ...attempt.request.headers,
      ...formatEnvelope({ ...attempt.envelope, remainingMs }),
    },
    body: attempt.request.body,
  });
}

/**
 * Settles an attempt on a new connection and requests its answer from a byte
 * offset. A sidecar that never received the attempt will not run it later, and
 * reports that it did not run.
 */
export function requestSettlement(
  attempt: Attempt,
  context: AttemptContext,
  options: { pool: Pool; offsetBytes: number },
): Promise<AnswerStart> {
  const { attempt: id, epoch } = attempt.envelope;
  return requestHead(attempt, context, {
    pool: options.pool,
    method: "POST",
    path: `/attempts/${id}?offset=${options.offsetBytes}&epoch=${epoch}`,
    headers: {},
  });
}

/** Cancels an attempt at its sidecar, since its answer is no longer needed. */
export async function cancelAttempt(
  attempt: Attempt,
  context: AttemptContext,
): Promise<void> {
  const pool = context.connections.get(attempt.runner.dataAddress);
  const answer = await pool.request({
    method: "DELETE",
    path: `/attempts/${attempt.envelope.attempt}`,
    signal: AbortSignal.timeout(heartbeatTimeoutMs),
  });
  await answer.body.dump();
}

async function requestHead(
  attempt: Attempt,
  context: AttemptContext,
  options: RequestAnswerOptions,
): Promise<AnswerStart> {
  const abort = new AbortController();
  const remainingMs = attempt.deadlineAtMs - context.timers.nowMs();
  using _deadline = context.timers.schedule(remainingMs, () => {
    abort.abort(createDeadlineError(attempt));
  });
  using watch = SilenceWatch.create({
    timers: context.timers,
    limitMs: Math.min(heartbeatTimeoutMs, context.stream.firstByteMs),
    onSilence: () => abort.abort(createSilenceError(attempt)),
  });
  using _caller = subscribeAbort(context.callerSignal, () => {
    abort.abort(AppError.create("callerGone", "Caller disconnected"));
  });
  try {
    const response = await options.pool.request({
      method: options.method as Dispatcher.HttpMethod,
      path: options.path,
      headers: options.headers,
      body: options.body === undefined || options.body.length === 0
        ? null
        : options.body,
      signal: abort.signal,
      onInfo: () => watch.recordActivity(),
    });
    return checkAttemptId(attempt, context, {
      status: response.statusCode,
      headers: response.headers,
      response,
      pool: options.pool,
      abort,
    });
  } catch (error) {
    throw createRequestError(attempt, error);
  }
}

/** Rejects an answer to another attempt and closes its connection. */
function checkAttemptId(
  attempt: Attempt,
  context: AttemptContext,
  start: AnswerStart,
): AnswerStart {
  const attemptId = start.headers[headerNames.attempt];
  if (attemptId === attempt.envelope.attempt) return start;
  context.metrics.count("answers-mismatched");
  const error = AppError.create(
    "answerMismatch",
    `Answer of runner ${attempt.runner.id} belongs to another attempt`,
  );
  start.abort.abort(error);
  throw error;
}

function createRequestError(attempt: Attempt, thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown;
  const { id } = attempt.runner;
  if (isConnectError(thrown)) {
    return AppError.create(
      "runnerUnreachable",
      `Runner ${id} cannot be reached`,
      { cause: thrown },
    );
  }
  return AppError.create("runnerFailed", `Connection to runner ${id} failed`, {
    cause: thrown,
  });
}

const connectErrorCodes = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
  // The sidecar's certificate was rejected before the request was sent.
  "CERT_HAS_EXPIRED",
  "CERT_NOT_YET_VALID",
  "CERT_SIGNATURE_FAILURE",
  "DEPTH_ZERO_SELF_SIGNED_CERT",
  "ERR_TLS_CERT_ALTNAME_INVALID",
  "SELF_SIGNED_CERT_IN_CHAIN",
  "UNABLE_TO_GET_ISSUER_CERT",
  "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
  "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
]);

/** Checks whether the connection was never established and nothing was sent. */
function isConnectError(thrown: unknown): boolean {
  return thrown instanceof Error && "code" in thrown &&
    connectErrorCodes.has(String(thrown.code));
}

function createDeadlineError(attempt: Attempt): AppError {
  return AppError.create(
    "deadlineExceeded",
    `Runner ${attempt.runner.id} did not answer before the deadline`,
  );
}

function createSilenceError(attempt: Attempt): AppError {
  return AppError.create(
    "runnerFailed",
    `Connection to runner ${attempt.runner.id} went silent`,
  );
}
