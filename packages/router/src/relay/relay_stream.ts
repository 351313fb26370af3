import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { formatProblem, normalizeError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { type Dispatched, readAnswer } from "../attempts/mod.ts";

/**
 * Passes an event stream on as it arrives. One that is cut short ends with an
 * error event in place of the end mark.
 */
export async function relayStream(
  dispatched: Dispatched,
  response: ServerResponse,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  response.writeHead(start.status, copyForwardedHeaders(start.headers));
  response.flushHeaders();
  try {
    for await (const chunk of readAnswer(attempt, start, context)) {
      if (response.closed) return;
      if (response.write(chunk)) continue;
      await Promise.race([once(response, "drain"), once(response, "close")]);
    }
    response.end();
  } catch (thrown) {
    const error = normalizeError(thrown);
    context.metrics.count(`streams-cut-${error.result}`);
    response.end(`data: ${JSON.stringify(formatProblem(error))}\n\n`);
  }
}
