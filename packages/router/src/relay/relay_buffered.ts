import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { mergeAttemptErrors } from "@jasminetide/core/attempts";
import { type AppError, normalizeError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { type DispatchResult, readAnswer } from "../attempts/mod.ts";

/** How to request an interrupted answer again. */
export type RelayBufferedOptions = { send: () => Promise<DispatchResult> };

/** Answers up to this size are buffered until they are complete. */
const maxBufferedBytes = 1_048_576;

/**
 * Relays an answer once it is complete, so that an interrupted one can be
 * requested again. An answer over `maxBufferedBytes` is relayed while it
 * arrives; if it is interrupted, the caller's connection is closed early.
 */
export async function relayBuffered(
  dispatched: DispatchResult,
  response: ServerResponse,
  options: RelayBufferedOptions,
): Promise<void> {
  try {
    await relayOnce(dispatched, response);
  } catch (error) {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const { envelope } = dispatched.attempt;
    if (!envelope.isIdempotent) throw error;
    const cut = normalizeError(error);
    if (cut.result !== "streamInterrupted") throw error;
    dispatched.context.metrics.count("answers-asked-again");
    await relayOnce(await resend(cut, options), response);
  }
}

/**
 * Requests the answer again. A failure is merged with the interruption, since
 * the first attempt has run.
 */
async function resend(
  cut: AppError,
  options: RelayBufferedOptions,
): Promise<DispatchResult> {
  try {
    return await options.send();
  } catch (thrown) {
    throw mergeAttemptErrors([cut, normalizeError(thrown)]);
  }
}

async function relayOnce(
  dispatched: DispatchResult,
  response: ServerResponse,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  const headers = copyForwardedHeaders(start.headers);
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  for await (const chunk of readAnswer(attempt, start, context)) {
    if (response.closed) return;
    buffered.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes <= maxBufferedBytes) continue;
    if (!response.headersSent) response.writeHead(start.status, headers);
    const isFlushed = response.write(Buffer.concat(buffered));
    buffered = [];
    if (!isFlushed) {
      await Promise.race([once(response, "drain"), once(response, "close")]);
    }
  }
  const rest = Buffer.concat(buffered);
  if (!response.headersSent) {
    response.writeHead(start.status, {
      ...headers,
      ...(hasNoBody(start.status) ? {} : { "content-length": rest.length }),
    });
  }
  response.end(rest);
}

/** Checks whether answers with a status never have a body (RFC 9110). */
function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
