import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import type { Dispatcher } from "undici";
import type { StoredAttempt } from "./attempt_store.ts";

/** One request as the runner gets it. */
export type RunnerRequest = {
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Uint8Array;
  deadlineMs: number;
};

/** Last line of a whole event stream (OpenAI's protocol). */
const streamEndMark = "data: [DONE]";

/** Bytes at the end of a stream in which the end mark is looked for. */
const endMarkWindowBytes = 64;

/** Sends a request to the runner and keeps its answer as it arrives. */
export async function runAttempt(
  attempt: StoredAttempt,
  request: RunnerRequest,
  runner: Dispatcher,
): Promise<void> {
  const signal = AbortSignal.any([
    attempt.abort.signal,
    AbortSignal.timeout(Math.max(1, Math.ceil(request.deadlineMs))),
  ]);
  try {
    await pumpAnswer(attempt, request, { runner, signal });
  } catch (error) {
    attempt.answer.fail(createFailure(attempt, error));
  }
}

async function pumpAnswer(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: { runner: Dispatcher; signal: AbortSignal },
): Promise<void> {
  const response = await options.runner.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: copyForwardedHeaders(request.headers),
    body: request.body.length === 0 ? null : request.body,
    signal: options.signal,
  });
  const isStream = String(response.headers["content-type"])
    .startsWith("text/event-stream");
  attempt.answer.begin({
    status: response.statusCode,
    headers: copyForwardedHeaders(response.headers),
  });
  let tail = "";
  for await (const chunk of response.body) {
    tail = (tail + (chunk as Buffer).toString("latin1"))
      .slice(-endMarkWindowBytes);
    await attempt.answer.append(chunk as Buffer);
  }
  if (isStream && !tail.trimEnd().endsWith(streamEndMark)) {
    throw AppError.create("streamInterrupted", "Stream has no end mark");
  }
  attempt.answer.complete();
}

function createFailure(attempt: StoredAttempt, thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown;
  const { signal } = attempt.abort;
  if (signal.aborted && signal.reason instanceof AppError) return signal.reason;
  return AppError.create("runnerFailed", "Runner did not answer in full", {
    cause: thrown,
  });
}
