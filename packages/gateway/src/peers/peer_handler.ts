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
  selectNewerState,
  stateVersionsSchema,
} from "./gateway_state.ts";

/** Path of all calls at the listener for peers and operators. */
export const rpcPath = "/rpc";

/** Functions that answer the calls of other gateways and of operators. */
export type PeerHandlers = {
  /** Returns undefined while the store does not answer this gateway. */
  getState: () => GatewayState | undefined;
  explainRequest: (query: ExplanationQuery) => RequestExplanation;
};

function createPeerProcedures(handlers: PeerHandlers) {
  const { procedure, router } = initTRPC.create();
  return router({
    /** Returns state that is newer than that of the calling gateway. */
    getNews: procedure.input(stateVersionsSchema).query(({ input }) =>
      selectNewerState(handlers.getState(), input)
    ),
    /** A mutation, so that the API key is not sent in a URL. */
    explainRequest: procedure.input(explanationQuerySchema).mutation((
      { input },
    ) => handlers.explainRequest(input)),
  });
}

/** Procedures that a gateway serves to its peers and to operators. */
export type PeerProcedures = ReturnType<typeof createPeerProcedures>;

/** Creates the handler of calls by other gateways and by operators. */
export function createPeerHandler(handlers: PeerHandlers): RequestListener {
  const handle = createHTTPHandler({
    router: createPeerProcedures(handlers),
    basePath: `${rpcPath}/`,
  });
  return (request, response) => void handle(request, response);
}
