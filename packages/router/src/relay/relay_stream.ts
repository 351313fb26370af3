import { once } from "node:events";
import type { ServerResponse } from "node:http";
import {
  AppError,
  formatProblem,
  normalizeError,
} from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { endMarkEvent, EventTracker } from "@jasminetide/runtime/streams";
import { type Dispatched, readAnswer } from "../attempts/mod.ts";

/** How a stream whose runner is lost is gone on with. */
export type RelayStreamOptions = {
  /** Asks another runner for what follows the first `tokens` tokens. */
  resend: (tokens: number) => Promise<Dispatched>;
};

/**
 * Passes an event stream on, whole event by whole event. When its runner is
 * lost, another goes on at the next token. One that cannot be gone on with
 * ends with an error event in place of the end mark.
 */
export async function relayStream(
  dispatched: Dispatched,
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
  dispatched: Dispatched,
  response: ServerResponse,
  options: RelayStreamOptions,
): Promise<void> {
  const tracker = EventTracker.create();
  let current = dispatched;
  for (let resends = 0;; resends++) {
    try {
      await relayOnce(current, response, tracker);
      break;
    } catch (thrown) {
      const error = normalizeError(thrown);
      const isWhole = tracker.getProgress() !== "open";
      if (isWhole && error.result === "runnerFailed") break;
      if (isWhole) throw error;
      checkResend(current, error, resends);
      current.context.metrics.count("streams-moved");
      current = await resend(tracker.tokens, options);
    }
  }
  response.end(endMarkEvent);
}

/**
 * Passes on what one runner sends, but for the end mark, which waits until the
 * answer is known to be whole.
 */
async function relayOnce(
  dispatched: Dispatched,
  response: ServerResponse,
  tracker: EventTracker,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  tracker.cut();
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

/** Answers other than event streams, such as a runner's error, pass as is. */
async function relayBytes(
  dispatched: Dispatched,
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

const movableResults = new Set(["runnerFailed", "streamInterrupted"]);

function checkResend(
  dispatched: Dispatched,
  error: AppError,
  resends: number,
): void {
  const { maximumResumes } = dispatched.context.stream;
  if (movableResults.has(error.result) && resends < maximumResumes) return;
  throw error;
}

async function resend(
  tokens: number,
  options: RelayStreamOptions,
): Promise<Dispatched> {
  const dispatched = await options.resend(tokens);
  if (isEventStream(dispatched)) return dispatched;
  throw AppError.create("streamInterrupted", "Another runner did not resume");
}

function isEventStream(dispatched: Dispatched): boolean {
  const type = dispatched.start.headers["content-type"];
  return typeof type === "string" && type.startsWith("text/event-stream");
}
