import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { TaskObserver } from "@jasminetide/core/admission";
import { AppError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import type { Dispatcher } from "undici";
import type { StoredAttempt } from "./attempt_store.ts";

/** One request as the runner gets it. */
export type RunnerRequest = {
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  /** Lower is served first. */
  priority: number;
  body: Uint8Array;
  deadlineMs: number;
};

/** Last line of a whole event stream (OpenAI's protocol). */
const streamEndMark = "data: [DONE]";

/** Bytes at the end of a stream in which the end mark is looked for. */
const endMarkWindowBytes = 64;

/** Request header by which engines order what waits. */
const priorityHeader = "x-priority";

const lineFeed = 10;

/** What attempts run with. */
export type RunOptions = { runner: Dispatcher; observer: TaskObserver };

/** Sends a request to the runner and keeps its answer as it arrives. */
export async function runAttempt(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: RunOptions,
): Promise<void> {
  const signal = AbortSignal.any([
    attempt.abort.signal,
    AbortSignal.timeout(Math.max(1, Math.ceil(request.deadlineMs))),
  ]);
  try {
    await pumpAnswer(attempt, request, { ...options, signal });
  } catch (error) {
    attempt.answer.fail(
      AppError.create("runnerFailed", "Runner did not answer in full", {
        cause: error,
      }),
    );
  }
}

async function pumpAnswer(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: RunOptions & { signal: AbortSignal },
): Promise<void> {
  const response = await options.runner.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: {
      ...copyForwardedHeaders(request.headers),
      [priorityHeader]: String(request.priority),
    },
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
    if (isStream) options.observer.observeTokens(countEvents(chunk as Buffer));
    await attempt.answer.append(chunk as Buffer);
  }
  if (isStream && !tail.trimEnd().endsWith(streamEndMark)) {
    throw AppError.create("streamInterrupted", "Stream has no end mark");
  }
  attempt.answer.complete();
}

/** Counts the events of a piece of a stream; each ends in an empty line. */
function countEvents(chunk: Uint8Array): number {
  let count = 0;
  for (let index = 1; index < chunk.length; index += 1) {
    if (chunk[index] === lineFeed && chunk[index - 1] === lineFeed) count += 1;
  }
  return count;
}
