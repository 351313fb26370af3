import type { LimitStatement } from "@jasminetide/core/limits";
import type { Evidence } from "@jasminetide/core/quarantine";
import { createTRPCClient, httpLink } from "@trpc/client";
import { sendRequest } from "@jasminetide/runtime/http";
import type {
  ExplanationQuery,
  RequestExplanation,
} from "../requests/explain_request.ts";
import { evidenceSchema } from "./evidence_schema.ts";
import type { GatewayState, StateVersions } from "./gateway_state.ts";
import { type PeerProcedures, rpcPath } from "./peer_handler.ts";

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
  const client = createClient(address, operatorLimits);
  const answer = client.explainRequest.mutate(query);
  return answer as Promise<RequestExplanation>;
}

/**
 * Fetches from another gateway the state that is newer than the given versions;
 * rejects if it does not answer.
 */
export function fetchNewerState(
  address: string,
  versions: StateVersions,
): Promise<Partial<GatewayState>> {
  const state = createClient(address, peerLimits).getNews.query(versions);
  return state as Promise<Partial<GatewayState>>;
}

/**
 * Sends what this gateway has learned of crashes to another one; returns which
 * of the parts the other has seen sound. Rejects if it does not answer.
 */
export async function sendEvidence(
  address: string,
  evidence: Evidence,
): Promise<Evidence> {
  const client = createClient(address, peerLimits);
  return evidenceSchema.parse(await client.mergeEvidence.mutate(evidence));
}

/**
 * Fetches all that another gateway knows of crashes; rejects if it does not
 * answer.
 */
export async function fetchEvidence(address: string): Promise<Evidence> {
  const client = createClient(address, peerLimits);
  return evidenceSchema.parse(await client.getEvidence.query());
}

/** Sends what runners have stated of their limits to another gateway. */
export async function sendLimits(
  address: string,
  statements: LimitStatement[],
): Promise<void> {
  await createClient(address, peerLimits).mergeLimits.mutate(statements);
}

type AnswerLimits = { firstMs: number; pauseMs: number; totalMs: number };

function createClient(address: string, limits: AnswerLimits) {
  return createTRPCClient<PeerProcedures>({
    links: [httpLink({
      url: `http://${address}${rpcPath}`,
      fetch: async (input, init) => {
        const { status, text } = await sendRequest({
          address,
          method: init?.method === "POST" ? "POST" : "GET",
          path: getPath(input as URL | string),
          body: init?.body as string | undefined,
          agent: "shared",
          limits: { ...limits, maxBytes: maxAnswerBytes },
        });
        const json = () => Promise.resolve(JSON.parse(text));
        return { ok: status < 300, json };
      },
    })],
  });
}

function getPath(input: URL | string): string {
  const { pathname, search } = new URL(input);
  return pathname + search;
}

/** Limits on an operator's query; long enough for a gateway under load. */
const operatorLimits = { firstMs: 3000, pauseMs: 3000, totalMs: 3000 } as const;

/** Limits on a peer's answer; after a silence, another peer is queried soon. */
const peerLimits = { firstMs: 400, pauseMs: 400, totalMs: 5000 } as const;

/** Limit on the size of an answer: the state of a fleet with 3,000 runners. */
const maxAnswerBytes = 16 * 1024 * 1024;
