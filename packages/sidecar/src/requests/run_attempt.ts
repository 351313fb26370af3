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

/** Bytes at the end of an answer in which end mark and usage are looked for. */
const tailBytes = 1024;

/** Request header by which engines order what waits. */
const priorityHeader = "x-priority";

const lineFeed = 10;

/** What attempts run with. */
export type RunOptions = { runner: Dispatcher; observer: TaskObserver };

/**
 * Sends a request to the runner and keeps its answer as it arrives.
 *
 * @returns the tokens that the runner computed, where the answer tells.
 */
export async function runAttempt(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: RunOptions,
): Promise<number | undefined> {
  const signal = AbortSignal.any([
    attempt.abort.signal,
    AbortSignal.timeout(Math.max(1, Math.ceil(request.deadlineMs))),
  ]);
  try {
    return await pumpAnswer(attempt, request, { ...options, signal });
  } catch (error) {
    attempt.answer.fail(createFailure(attempt, error));
    return undefined;
  }
}

async function pumpAnswer(
  attempt: StoredAttempt,
  request: RunnerRequest,
  options: RunOptions & { signal: AbortSignal },
): Promise<number | undefined> {
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
      .slice(-tailBytes);
    if (isStream) options.observer.observeTokens(countEvents(chunk as Buffer));
    await attempt.answer.append(chunk as Buffer);
  }
  if (isStream && !tail.trimEnd().endsWith(streamEndMark)) {
    throw AppError.create("streamInterrupted", "Stream has no end mark");
  }
  attempt.answer.complete();
  return findComputedTokens(tail);
}

/** Finds the usage of an OpenAI-compatible answer near its end. */
function findComputedTokens(tail: string): number | undefined {
  const [prompt, answer, cached] = [
    "prompt_tokens",
    "completion_tokens",
    "cached_tokens",
  ].map((name) => new RegExp(`"${name}":\\s*(\\d+)`).exec(tail)?.[1]);
  if (prompt === undefined || answer === undefined) return undefined;
  return Number(prompt) + Number(answer) - Number(cached ?? "0");
}

/** Counts the events of a piece of a stream; each ends in an empty line. */
function countEvents(chunk: Uint8Array): number {
  let count = 0;
  for (let index = 1; index < chunk.length; index += 1) {
    if (chunk[index] === lineFeed && chunk[index - 1] === lineFeed) count += 1;
  }
  return count;
}

function createFailure(attempt: StoredAttempt, thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown;
  const { signal } = attempt.abort;
  if (signal.aborted && signal.reason instanceof AppError) return signal.reason;
  return AppError.create("runnerFailed", "Runner did not answer in full", {
    cause: thrown,
  });
}
