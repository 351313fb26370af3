import type { RequestListener } from "node:http";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  type ExplanationQuery,
  explanationQuerySchema,
  type RequestExplanation,
} from "../requests/explain_request.ts";
import {
  type GatewayState,
  knownStateSchema,
  selectNews,
} from "./peer_news.ts";

/** Path of all calls at the listener for peers and operators. */
export const rpcPath = "/rpc";

/** Answers the questions of other gateways and of operators. */
export type PeerHandlers = {
  /** Gives nothing while the store does not answer. */
  getState: () => GatewayState | undefined;
  explainRequest: (question: ExplanationQuery) => RequestExplanation;
};

function createPeerRouter(handlers: PeerHandlers) {
  const { procedure, router } = initTRPC.create();
  return router({
    /** Gives what is newer than what the asking gateway has. */
    getNews: procedure.input(knownStateSchema).query(({ input }) =>
      selectNews(handlers.getState(), input)
    ),
    /** A mutation, so that no API key stands in a URL. */
    explainRequest: procedure.input(explanationQuerySchema).mutation((
      { input },
    ) => handlers.explainRequest(input)),
  });
}

/** Calls that a gateway answers. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Creates the handler of other gateways' and operators' questions. */
export function createPeerHandler(handlers: PeerHandlers): RequestListener {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: `${rpcPath}/`,
  });
  return (request, response) => void handle(request, response);
}
