import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { mergeAttemptErrors } from "@jasminetide/core/attempts";
import { type AppError, normalizeError } from "@jasminetide/core/results";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { type Dispatched, readAnswer } from "../attempts/mod.ts";

/** How an answer that failed half-way is asked for again. */
export type RelayWholeOptions = { send: () => Promise<Dispatched> };

/** Bytes of an answer that are held until it is whole. */
const maxHeldBytes = 1_048_576;

/**
 * Passes an answer on once it is whole, so that one that fails half-way can be
 * asked for again. A larger one is passed on as it arrives; if that is cut
 * short, the caller's connection is closed before its end.
 */
export async function relayWhole(
  dispatched: Dispatched,
  response: ServerResponse,
  options: RelayWholeOptions,
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
    await relayOnce(await sendAgain(cut, options), response);
  }
}

/** The first attempt has run, so a refusal of the second is not the whole. */
async function sendAgain(
  cut: AppError,
  options: RelayWholeOptions,
): Promise<Dispatched> {
  try {
    return await options.send();
  } catch (thrown) {
    throw mergeAttemptErrors([cut, normalizeError(thrown)]);
  }
}

async function relayOnce(
  dispatched: Dispatched,
  response: ServerResponse,
): Promise<void> {
  const { attempt, context, start } = dispatched;
  const headers = copyForwardedHeaders(start.headers);
  let held: Buffer[] = [];
  let heldBytes = 0;
  for await (const chunk of readAnswer(attempt, start, context)) {
    if (response.closed) return;
    held.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes <= maxHeldBytes) continue;
    if (!response.headersSent) response.writeHead(start.status, headers);
    const isFlushed = response.write(Buffer.concat(held));
    held = [];
    if (!isFlushed) {
      await Promise.race([once(response, "drain"), once(response, "close")]);
    }
  }
  const rest = Buffer.concat(held);
  if (!response.headersSent) {
    response.writeHead(start.status, {
      ...headers,
      ...(hasNoBody(start.status) ? {} : { "content-length": rest.length }),
    });
  }
  response.end(rest);
}

/** Says whether answers with a status never have a body (RFC 9110). */
function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
