import type { ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import {
  abandonAttempt,
  type DispatchContext,
  type DispatchRequest,
  type DispatchResult,
  type OutgoingRequest,
} from "../attempts/mod.ts";
import type { RouterContext } from "../router_context.ts";
import { relayStream } from "./relay_stream.ts";
import { relayBuffered } from "./relay_buffered.ts";

/** Whether an answer is relayed event by event or once it is complete. */
export type RelayMode = "event-stream" | "buffered";

/** How a request is dispatched and its answer relayed. */
export type SendRequestOptions = {
  context: RouterContext;
  mode: RelayMode;
  dispatch: (
    request: DispatchRequest,
    context: DispatchContext,
  ) => Promise<DispatchResult>;
};

/**
 * Sends a request to a runner and relays the answer. If the caller disconnects,
 * an idempotent request is cancelled.
 */
export async function sendRequest(
  request: DispatchRequest,
  response: ServerResponse,
  options: SendRequestOptions,
): Promise<void> {
  const { context, dispatch, mode } = options;
  const caller = new AbortController();
  response.once("close", () => {
    if (!response.writableEnded) caller.abort();
  });
  const dispatchContext: DispatchContext = {
    ...context,
    pool: context.poolStates.get(request.envelope.pool, request.settings),
    callerSignal: caller.signal,
  };
  let last: DispatchResult | undefined;
  const send = async (headers: OutgoingRequest["headers"] = {}) => {
    last = await dispatch(addHeaders(request, headers), dispatchContext);
    return last;
  };
  const resume = (tokens: number) => {
    takeRetry(dispatchContext);
    return send({ [resumeTokensHeader]: String(tokens) });
  };
  const first = await send();
  try {
    if (mode === "event-stream") {
      await relayStream(first, response, { resume });
    } else await relayBuffered(first, response, { send });
  } finally {
    if (caller.signal.aborted && last !== undefined) {
      context.metrics.count("callers-gone");
      await abandonAttempt(last.attempt, last.context);
    }
  }
}

/** Request header with the number of tokens after which an engine resumes. */
const resumeTokensHeader = "x-resume-tokens";

function addHeaders(
  request: DispatchRequest,
  headers: OutgoingRequest["headers"],
): DispatchRequest {
  const outgoing = request.request;
  return {
    ...request,
    request: { ...outgoing, headers: { ...outgoing.headers, ...headers } },
  };
}

function takeRetry(context: DispatchContext): void {
  if (context.pool.retries.tryTake()) return;
  throw AppError.create(
    "retryBudgetSpent",
    "No retry is left to resume the stream",
    {
      executed: "unknown",
    },
  );
}
