import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { headerNames } from "@jasminetide/runtime/exchange";
import type { AnswerBuffer } from "./answer_buffer.ts";

/** Offset and headers of an answer that is sent. */
export type SendAnswerOptions = {
  offsetBytes: number;
  /** Headers for the router, added to those of the runner. */
  headers: { [name: string]: string };
};

/**
 * Sends an answer from a byte offset. Trailers report the final state and size,
 * so that the reader can distinguish a complete answer from a truncated one.
 */
export async function sendAnswer(
  buffer: AnswerBuffer,
  response: ServerResponse,
  options: SendAnswerOptions,
): Promise<void> {
  const head = await buffer.getHead();
  response.writeHead(head.status, {
    ...head.headers,
    ...options.headers,
    trailer: `${headerNames.answerEnd}, ${headerNames.answerBytes}`,
  });
  response.flushHeaders();
  for await (const chunk of buffer.read(options.offsetBytes)) {
    if (response.closed) return;
    if (response.write(chunk)) continue;
    await Promise.race([once(response, "drain"), once(response, "close")]);
  }
  response.addTrailers({
    [headerNames.answerEnd]: buffer.state,
    [headerNames.answerBytes]: String(buffer.sizeBytes),
  });
  response.end();
}
