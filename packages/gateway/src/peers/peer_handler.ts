import type { RequestListener } from "node:http";
import type { LimitStatement } from "@jasminetide/core/limits";
import type { Evidence } from "@jasminetide/core/quarantine";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  type ExplanationQuery,
  explanationQuerySchema,
  type RequestExplanation,
} from "../requests/explain_request.ts";
import { limitStatementsSchema } from "../limits/limit_schema.ts";
import { evidenceSchema } from "./evidence_schema.ts";
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
  /** Merges what another gateway knows of crashes; returns what it lacks. */
  mergeEvidence: (evidence: Evidence) => Evidence;
  /** Returns all that this gateway knows of crashes. */
  getEvidence: () => Evidence;
  /** Takes in what another gateway knows of the limits of runners. */
  mergeLimits: (statements: LimitStatement[]) => void;
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
    /** Takes evidence of crashes; returns which of its parts are sound. */
    mergeEvidence: procedure.input(evidenceSchema).mutation(({ input }) =>
      handlers.mergeEvidence(input)
    ),
    /** Returns all evidence of crashes, for a gateway that has started. */
    getEvidence: procedure.query(() => handlers.getEvidence()),
    /** Takes what runners have stated of their limits. */
    mergeLimits: procedure.input(limitStatementsSchema).mutation(({ input }) =>
      handlers.mergeLimits(input)
    ),
  });
}

/** Procedures that a gateway serves to its peers and to operators. */
export type PeerProcedures = ReturnType<typeof createPeerProcedures>;

/** Creates the handler of calls by other gateways and by operators. */
export function createPeerHandler(handlers: PeerHandlers): RequestListener {
  const handle = createHTTPHandler({
    router: createPeerProcedures(handlers),
    basePath: `${rpcPath}/`,
    maxBodySize: maxCallBytes,
  });
  return (request, response) => void handle(request, response);
}

/** Limit on a call, as on the answers that gateways take from each other. */
const maxCallBytes = 16 * 1024 * 1024;
