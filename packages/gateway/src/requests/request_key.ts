import type { IncomingMessage } from "node:http";
import { hash64, hashBytes64 } from "@jasminetide/core/hashing";
import { formatRequestKey } from "@jasminetide/core/quarantine";
import type { AdmittedRequest } from "./admitted_request.ts";

/**
 * Creates a key by which a request is recognised when its caller sends it again
 * under another id: a hash of method, host, path, workspace and body.
 */
export function createRequestKey(
  { body, workspace }: Pick<AdmittedRequest, "body" | "workspace">,
  { headers, method, url }: Pick<IncomingMessage, "headers" | "method" | "url">,
): string {
  const text = JSON.stringify([method, headers.host, url, workspace]);
  return formatRequestKey(hash64(text, hashBytes64(body)));
}
