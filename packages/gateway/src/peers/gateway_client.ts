import { createTRPCClient, httpLink } from "@trpc/client";
import { SilenceLimit } from "@jasminetide/runtime/clock";
import type {
  ExplanationQuery,
  RequestExplanation,
} from "../requests/explain_request.ts";
import { type PeerProcedures, rpcPath } from "./peer_handler.ts";
import type { GatewayState, StateVersions } from "./gateway_state.ts";

/**
 * Queries a gateway how it would handle a request; rejects if it does not
 * answer.
 *
 * @param address `ip:port` of its listener for peers and operators.
 */
export function fetchExplanation(
  address: string,
  query: ExplanationQuery,
): Promise<RequestExplanation> {
  const client = createTRPCClient<PeerProcedures>({
    links: [httpLink({ url: `http://${address}${rpcPath}` })],
  });
  return client.explainRequest.mutate(query, {
    signal: AbortSignal.timeout(operatorAnswerLimitMs),
  }) as Promise<RequestExplanation>;
}

/**
 * Fetches from another gateway the state that is newer than the given versions;
 * rejects if it does not answer.
 */
export async function fetchNewerState(
  address: string,
  versions: StateVersions,
): Promise<Partial<GatewayState>> {
  using limit = SilenceLimit.create(answerLimits);
  const client = createTRPCClient<PeerProcedures>({
    links: [httpLink({
      url: `http://${address}${rpcPath}`,
      fetch: (input, init) =>
        fetchWithLimit(input as URL | string, init, limit),
    })],
  });
  const state = await client.getNews.query(versions, { signal: limit.signal });
  return state as Partial<GatewayState>;
}

/** Fetches an answer and restarts the limit on silence with each chunk. */
async function fetchWithLimit(
  input: URL | string,
  init: RequestInit | undefined,
  limit: SilenceLimit,
): Promise<Response> {
  const response = await fetch(input, init);
  limit.recordProgress();
  const chunks = new TransformStream<Uint8Array, Uint8Array>({
    transform: (chunk, controller) => {
      limit.recordProgress();
      controller.enqueue(chunk);
    },
  });
  return new Response(response.body?.pipeThrough(chunks), response);
}

/** Limit on an operator's query; long enough for a gateway under load. */
const operatorAnswerLimitMs = 3000;

/** Limits on a peer's answer; after a silence, another peer is queried soon. */
const answerLimits = { firstMs: 400, pauseMs: 400, totalMs: 5000 } as const;
