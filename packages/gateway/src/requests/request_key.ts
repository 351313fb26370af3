import type { IncomingMessage } from "node:http";
import { hash64 } from "@jasminetide/core/hashing";
import type { AdmittedRequest } from "./exchange.ts";

/**
 * Formats a key by which a request is recognised when its caller sends it again
 * under another id: a hash of method, host, path, workspace and body.
 */
export function formatRequestKey(
  { body, workspace }: Pick<AdmittedRequest, "body" | "workspace">,
  { headers, method, url }: Pick<IncomingMessage, "headers" | "method" | "url">,
): string {
  const text = JSON.stringify([
    method,
    headers.host,
    url,
    workspace,
    body.toString("latin1"),
  ]);
  return `request:${hash64(text).toString(16)}`;
}
