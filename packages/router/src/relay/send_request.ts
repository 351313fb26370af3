import type { ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import {
  abandonAttempt,
  type DispatchContext,
  type Dispatched,
  type DispatchRequest,
  type OutgoingRequest,
} from "../attempts/mod.ts";
import type { RouterContext } from "../router_context.ts";
import { relayStream } from "./relay_stream.ts";
import { relayWhole } from "./relay_whole.ts";

/** Whether an answer is passed on as it arrives or once it is whole. */
export type AnswerForm = "event-stream" | "whole";

/** How a request is brought to a runner and its answer passed on. */
export type SendRequestOptions = {
  context: RouterContext;
  form: AnswerForm;
  dispatch: (
    request: DispatchRequest,
    context: DispatchContext,
  ) => Promise<Dispatched>;
};

/**
 * Brings a request to a runner and passes the answer on. A caller that goes
 * away cancels an idempotent request.
 */
export async function sendRequest(
  request: DispatchRequest,
  response: ServerResponse,
  options: SendRequestOptions,
): Promise<void> {
  const { context, dispatch, form } = options;
  const caller = new AbortController();
  response.once("close", () => {
    if (!response.writableEnded) caller.abort();
  });
  const dispatchContext: DispatchContext = {
    ...context,
    pool: context.pools.get(request.envelope.pool, request.settings),
    callerSignal: caller.signal,
  };
  let last: Dispatched | undefined;
  const send = async (headers: OutgoingRequest["headers"] = {}) => {
    last = await dispatch(addHeaders(request, headers), dispatchContext);
    return last;
  };
  const resend = (tokens: number) => {
    checkBudget(dispatchContext);
    return send({ [resumeTokensHeader]: String(tokens) });
  };
  const first = await send();
  try {
    if (form === "event-stream") {
      await relayStream(first, response, { resend });
    } else await relayWhole(first, response, { send });
  } finally {
    if (caller.signal.aborted && last !== undefined) {
      context.metrics.count("callers-gone");
      await abandonAttempt(last.attempt, last.context);
    }
  }
}

/** Request header that tells an engine at which token to go on. */
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

function checkBudget(context: DispatchContext): void {
  if (context.pool.retries.tryTake()) return;
  throw AppError.create("retryBudgetSpent", "Too many streams were lost", {
    executed: "unknown",
  });
}
