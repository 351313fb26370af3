import type { IncomingMessage } from "node:http";
import type { GatewayContext } from "../gateway_context.ts";
import type { RunnerHeaderValues } from "../protocol.ts";
import type { RunnerRequest } from "../upstreams/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { selectForwardedHeaders } from "./forwarded_headers.ts";
import type { Placement } from "./place_attempt.ts";

/** What the request to a runner is made of. */
export type RunnerRequestParts = {
  request: Pick<IncomingMessage, "method" | "rawHeaders" | "url">;
  admitted: AdmittedRequest;
  placement: Placement;
  /** Time left until the request's deadline. */
  leftMs: number;
  lastEventId: string | undefined;
};

/** Formats a caller's request for the runner that was chosen. */
export function formatRunnerRequest(
  parts: RunnerRequestParts,
  { protocol }: Pick<GatewayContext, "protocol">,
): RunnerRequest {
  const { admitted, lastEventId, leftMs, placement, request } = parts;
  const headers = selectForwardedHeaders(request.rawHeaders, {
    without: ["content-length"],
  });
  const values: RunnerHeaderValues = {
    runnerId: placement.upstream.id,
    timeoutMs: Math.max(1, Math.floor(leftMs)),
    workspace: admitted.workspace,
    priority: admitted.priority,
    lastEventId,
    cacheSource: placement.cacheSource,
  };
  return {
    attemptId: admitted.caller.attemptId,
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: protocol.formatRunnerHeaders(headers, values),
    body: admitted.body,
  };
}
