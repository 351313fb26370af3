import { createTRPCClient, httpLink } from "@trpc/client";
import { SilenceLimit } from "@jasminetide/runtime/clock";
import type {
  ExplanationQuery,
  RequestExplanation,
} from "../requests/explain_request.ts";
import { type PeerRouter, rpcPath } from "./peer_handler.ts";
import type { GatewayState, KnownState } from "./peer_news.ts";

/**
 * Asks a gateway what it would do with a request; rejects when it does not
 * answer.
 *
 * @param address `ip:port` of its listener for peers and operators.
 */
export function askForExplanation(
  address: string,
  question: ExplanationQuery,
): Promise<RequestExplanation> {
  const client = createTRPCClient<PeerRouter>({
    links: [httpLink({ url: `http://${address}${rpcPath}` })],
  });
  return client.explainRequest.mutate(question, {
    signal: AbortSignal.timeout(operatorAnswerLimitMs),
  }) as Promise<RequestExplanation>;
}

/** Asks another gateway for what is newer; rejects when it does not answer. */
export async function askPeer(
  address: string,
  known: KnownState,
): Promise<Partial<GatewayState>> {
  using limit = SilenceLimit.create(answerLimits);
  const client = createTRPCClient<PeerRouter>({
    links: [httpLink({
      url: `http://${address}${rpcPath}`,
      fetch: (input, init) => fetchInParts(input as URL | string, init, limit),
    })],
  });
  const news = await client.getNews.query(known, { signal: limit.signal });
  return news as Partial<GatewayState>;
}

/** Tells the limit of each part of an answer as it comes. */
async function fetchInParts(
  input: URL | string,
  init: RequestInit | undefined,
  limit: SilenceLimit,
): Promise<Response> {
  const response = await fetch(input, init);
  limit.recordProgress();
  const parts = new TransformStream<Uint8Array, Uint8Array>({
    transform: (part, controller) => {
      limit.recordProgress();
      controller.enqueue(part);
    },
  });
  return new Response(response.body?.pipeThrough(parts), response);
}

/** An operator asks seldom and may wait for a gateway under load. */
const operatorAnswerLimitMs = 3000;

/** A peer that falls silent is left; another is asked soon. */
const answerLimits = { firstMs: 400, pauseMs: 400, totalMs: 5000 } as const;
