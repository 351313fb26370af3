import { once } from "node:events";
import type { ServerResponse } from "node:http";
import {
  AppError,
  formatProblem,
  normalizeError,
} from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { endMarkEvent, EventTracker } from "@jasminetide/runtime/streams";
import { type DispatchResult, readAnswer } from "../attempts/mod.ts";

/** How to resume a stream whose runner failed. */
export type RelayStreamOptions = {
  /** Requests the tokens after the first `tokens` from another runner. */
  resume: (tokens: number) => Promise<DispatchResult>;
};

/**
 * Relays an event stream in whole events. When its runner fails, another runner
 * resumes at the next token. A stream that cannot be resumed ends with an error
 * event instead of the end mark.
 */
export async function relayStream(
  dispatched: DispatchResult,
  response: ServerResponse,
  options: RelayStreamOptions,
): Promise<void> {
  const { context, start } = dispatched;
  response.writeHead(start.status, copyForwardedHeaders(start.headers));
  response.flushHeaders();
  if (!isEventStream(dispatched)) {
    await relayBytes(dispatched, response);
    return;
  }
  try {
    await relayEvents(dispatched, response, options);
  } catch (thrown) {
    const error = normalizeError(thrown);
    context.metrics.count(`streams-cut-${error.result}`);
    response.end(`data: ${JSON.stringify(formatProblem(error))}\n\n`);
  }
}

async function relayEvents(
  dispatched: DispatchResult,
  response: ServerResponse,
  options: RelayStreamOptions,
): Promise<void> {
  const tracker = EventTracker.create();
  let current = dispatched;
  for (let resumes = 0;; resumes++) {
    try {
      await relayOnce(current, response, tracker);
      break;
    } catch (thrown) {
      const error = normalizeError(thrown);
      const isComplete = tracker.getProgress() !== "open";
      if (isComplete && error.result === "runnerFailed") break;
      if (isComplete) throw error;
      checkResumable(current, error, resumes);
      current.context.metrics.count("streams-moved");
      current = await resumeStream(tracker.tokens, options);
    }
  }
  response.end(endMarkEvent);
}

/**
 * Relays the events of one runner except the end mark, which is sent only when
 * the answer is known to be complete.
 */
async function relayOnce(
  dispatched: DispatchResult,
  response: ServerResponse,
  tracker: EventTracker,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  tracker.dropPartial();
  for await (const chunk of readAnswer(attempt, start, context)) {
    const events = tracker.append(chunk);
    const isEnded = events.length > 0 && tracker.getProgress() === "ended";
    await writeBytes(
      response,
      isEnded ? events.subarray(0, -tracker.lastEventBytes) : events,
    );
  }
  if (tracker.getProgress() !== "open") return;
  throw AppError.create("streamInterrupted", "Stream has no end mark");
}

/** Relays an answer that is not an event stream, such as a runner's error. */
async function relayBytes(
  dispatched: DispatchResult,
  response: ServerResponse,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  try {
    for await (const chunk of readAnswer(attempt, start, context)) {
      await writeBytes(response, chunk);
    }
    response.end();
  } catch {
    response.destroy();
  }
}

async function writeBytes(
  response: ServerResponse,
  bytes: Uint8Array,
): Promise<void> {
  if (bytes.length === 0 || response.closed || response.write(bytes)) return;
  await Promise.race([once(response, "drain"), once(response, "close")]);
}

const resumableResults = new Set(["runnerFailed", "streamInterrupted"]);

function checkResumable(
  dispatched: DispatchResult,
  error: AppError,
  resumes: number,
): void {
  const { maximumResumes } = dispatched.context.stream;
  if (resumableResults.has(error.result) && resumes < maximumResumes) return;
  throw error;
}

async function resumeStream(
  tokens: number,
  options: RelayStreamOptions,
): Promise<DispatchResult> {
  const dispatched = await options.resume(tokens);
  if (isEventStream(dispatched)) return dispatched;
  throw AppError.create(
    "streamInterrupted",
    "Another runner did not resume the stream",
  );
}

function isEventStream(dispatched: DispatchResult): boolean {
  const type = dispatched.start.headers["content-type"];
  return typeof type === "string" && type.startsWith("text/event-stream");
}
