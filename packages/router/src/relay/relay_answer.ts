import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { formatProblem, normalizeError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import {
  type AttemptContext,
  cancelAttempt,
  type Dispatched,
  readAnswer,
} from "../attempts/mod.ts";

/** How an answer is passed on. */
export type RelayOptions = AttemptContext & {
  /** Whether the answer is an event stream with an end mark. */
  isStream: boolean;
};

/**
 * Passes an answer on to the caller as it arrives. A stream that is cut short
 * ends with an error event; any other answer ends its connection. A caller
 * that goes away cancels the attempt.
 */
export async function relayAnswer(
  dispatched: Dispatched,
  response: ServerResponse,
  options: RelayOptions,
): Promise<void> {
  const { attempt, start } = dispatched;
  response.writeHead(start.status, copyForwardedHeaders(start.headers));
  response.flushHeaders();
  try {
    for await (const chunk of readAnswer(attempt, start, options)) {
      if (response.closed) break;
      if (response.write(chunk)) continue;
      await Promise.race([once(response, "drain"), once(response, "close")]);
    }
    if (response.closed) await abandon(dispatched, options);
    else response.end();
  } catch (error) {
    options.metrics.count("answers-cut");
    endWithError(response, error, options.isStream);
  }
}

async function abandon(
  dispatched: Dispatched,
  options: RelayOptions,
): Promise<void> {
  options.metrics.count("callers-gone");
  dispatched.start.response.body.destroy();
  await cancelAttempt(dispatched.attempt, options);
}

function endWithError(
  response: ServerResponse,
  thrown: unknown,
  isStream: boolean,
): void {
  if (!isStream) {
    response.destroy();
    return;
  }
  const problem = formatProblem(normalizeError(thrown));
  response.end(`data: ${JSON.stringify(problem)}\n\n`);
}
