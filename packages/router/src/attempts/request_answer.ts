import { AppError } from "@jasminetide/core/results";
import { formatEnvelope, headerNames } from "@jasminetide/runtime/exchange";
import { SilenceWatch, subscribeAbort } from "@jasminetide/runtime/streams";
import type { Dispatcher, Pool } from "undici";
import type { AnswerStart, Attempt, AttemptContext } from "./attempt.ts";

/** Where and how a request for an answer is sent. */
export type RequestAnswerOptions = {
  pool: Pool;
  method: string;
  path: string;
  headers: { [name: string]: string | string[] };
  body?: Uint8Array;
};

/** Longest silence of a sidecar that still waits for its runner. */
const heartbeatLimitMs = 2000;

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
 * Settles an attempt on a new connection and asks for its answer from a byte
 * offset. A sidecar that never received the attempt withdraws it for good and
 * answers so.
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

/** Tells the sidecar that nobody waits for the answer any more. */
export async function cancelAttempt(
  attempt: Attempt,
  context: AttemptContext,
): Promise<void> {
  const pool = context.connections.get(attempt.runner.dataAddress);
  const answer = await pool.request({
    method: "DELETE",
    path: `/attempts/${attempt.envelope.attempt}`,
    signal: AbortSignal.timeout(heartbeatLimitMs),
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
    limitMs: Math.min(heartbeatLimitMs, context.stream.firstByteMs),
    onSilence: () => abort.abort(createSilenceError(attempt)),
  });
  using _caller = subscribeAbort(context.callerSignal, () => {
    abort.abort(AppError.create("callerGone", "Caller went away"));
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
      onInfo: () => watch.record(),
    });
    return checkOwnAnswer(attempt, context, {
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

/** Drops an answer that belongs to another attempt; closes its connection. */
function checkOwnAnswer(
  attempt: Attempt,
  context: AttemptContext,
  start: AnswerStart,
): AnswerStart {
  const told = start.headers[headerNames.attempt];
  if (told === attempt.envelope.attempt) return start;
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
  if (isNeverSent(thrown)) {
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
  // The sidecar's certificate was not accepted, before the request was sent.
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

/** Says whether a connection was never made, so that nothing was sent. */
function isNeverSent(thrown: unknown): boolean {
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
