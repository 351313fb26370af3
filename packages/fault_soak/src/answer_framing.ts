/** Completeness of answers with and without framing. */
import type { IncomingHttpHeaders } from "node:http";

/**
 * Whether an answer that ended regularly is whole. An answer with neither a
 * length nor chunks ends with its connection; a stream that ends so inside an
 * event was broken off.
 */
export function isWhole(body: string, headers: IncomingHttpHeaders): boolean {
  const isStream = headers["content-type"] === "text/event-stream";
  return !isUnframed(headers) || !isStream || body === "" ||
    body.endsWith("\n\n");
}

/** Whether an answer has neither a length nor chunks. */
export function isUnframed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
