import type { ServerResponse } from "node:http";
import {
  abandonAttempt,
  type DispatchContext,
  type Dispatched,
  type DispatchRequest,
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
  const send = () => dispatch(request, dispatchContext);
  const dispatched = await send();
  try {
    if (form === "event-stream") await relayStream(dispatched, response);
    else await relayWhole(dispatched, response, { send });
  } finally {
    if (caller.signal.aborted) {
      context.metrics.count("callers-gone");
      await abandonAttempt(dispatched.attempt, dispatched.context);
    }
  }
}
