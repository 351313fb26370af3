import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import type { RequestListener } from "node:http";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import { SilenceLimit } from "@jasminetide/runtime/clock";
import * as z from "zod";
import {
  type RequestExplanation,
  type RequestQuestion,
  requestQuestionSchema,
} from "../requests/explain_request.ts";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** The newest state that a gateway has from the store itself. */
export type GatewayState = {
  declaration: RoutingDeclaration | undefined;
  /** Revision of the store at which the runners were read. */
  revision: number;
  runners: RunnerRecord[];
};

const rpcPath = "/rpc";

const knownSchema = z.object({
  /** Version of the declaration that the asking gateway has. */
  version: z.number(),
  /** Revision of the runners that the asking gateway has. */
  revision: z.number(),
});

/** What the asking gateway has already. */
export type KnownState = z.output<typeof knownSchema>;

/** Answers the questions of other gateways and of operators. */
export type PeerHandlers = {
  /** Gives nothing while the store does not answer. */
  getState: () => GatewayState | undefined;
  explainRequest: (question: RequestQuestion) => RequestExplanation;
};

function createPeerRouter(handlers: PeerHandlers) {
  const { procedure, router } = initTRPC.create();
  return router({
    /** Gives what is newer than what the asking gateway has. */
    getNews: procedure.input(knownSchema).query(({ input }) =>
      selectNews(handlers.getState(), input)
    ),
    /** A mutation, so that no API key stands in a URL. */
    explainRequest: procedure.input(requestQuestionSchema).mutation((
      { input },
    ) => handlers.explainRequest(input)),
  });
}

type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Leaves out what the asking gateway has already. */
export function selectNews(
  state: GatewayState | undefined,
  known: KnownState,
): Partial<GatewayState> {
  if (state === undefined) return {};
  const { declaration, revision, runners } = state;
  return {
    ...(declaration !== undefined && declaration.version > known.version
      ? { declaration }
      : {}),
    ...(revision > known.revision ? { revision, runners } : {}),
  };
}

/** Creates the handler of other gateways' and operators' questions. */
export function createPeerHandler(handlers: PeerHandlers): RequestListener {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: `${rpcPath}/`,
  });
  return (request, response) => void handle(request, response);
}

/**
 * Asks a gateway what it would do with a request; rejects when it does not
 * answer.
 *
 * @param address `ip:port` of its listener for peers and operators.
 */
export function askForExplanation(
  address: string,
  question: RequestQuestion,
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
  limit.recordPart();
  const parts = new TransformStream<Uint8Array, Uint8Array>({
    transform: (part, controller) => {
      limit.recordPart();
      controller.enqueue(part);
    },
  });
  return new Response(response.body?.pipeThrough(parts), response);
}

/** An operator asks seldom and may wait for a gateway under load. */
const operatorAnswerLimitMs = 3000;

/** A peer that falls silent is left; another is asked soon. */
const answerLimits = { firstMs: 400, pauseMs: 400, totalMs: 5000 } as const;
