import type { IncomingMessage } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { formatForPeer, selectParts } from "@jasminetide/runtime/configuration";
import {
  createSidecarProcedures,
  startControlServer,
} from "@jasminetide/runtime/control";
import { headerNames } from "@jasminetide/runtime/exchange";
import {
  type ListeningServer,
  refusePeer,
  startServer,
} from "@jasminetide/runtime/http";
import { getDump } from "./dump.ts";
import { handleCall, isMoneyCall } from "./ledger/mod.ts";
import { handleRequest, type RequestContext } from "./requests/mod.ts";
import { isDeferrable, isLeaving, type SidecarState } from "./state.ts";

/** Maximum size of a request body. */
const maxBodyBytes = 4_194_304;

/** Starts the listener for routers. */
export function startDataListener(
  state: SidecarState,
): Promise<ListeningServer> {
  const { credentials, logger, settings } = state;
  const context = createRequestContext(state);
  const secure = { credentials, logger };
  return startServer(settings.dataAddress, (request, response) => {
    const headers = getPeerRefusalHeaders(request);
    if (refusePeer(request, response, { ...secure, headers })) return;
    const { ledger } = state;
    if (isMoneyCall(request) && ledger !== undefined) {
      void handleCall(request, response, { ...context, ledger });
    } else void handleRequest(request, response, context);
  }, secure);
}

/** Starts the listener for peers and operators. */
export function startControlListener(
  state: SidecarState,
): Promise<ListeningServer> {
  const { configuration, credentials, logger, settings } = state;
  return startControlServer({
    credentials,
    logger,
    address: settings.controlAddress,
    operatorKeyHash: settings.operatorKeyHash,
    getDump: () => getDump(state),
    router: createSidecarProcedures({
      getConfiguration: (afterVersion) =>
        configuration.version > afterVersion
          ? formatForPeer(configuration.get())
          : undefined,
      getParts: (hashes) => selectParts(configuration, hashes),
      order: (order) => requireOrders(state).apply(order),
      isDutyHeld: () => false,
      claimChats: (claims) =>
        claims.forEach((claim) => state.locator?.recordClaim(claim)),
      getMembers: () => state.membership?.listMembers() ?? [],
    }),
  });
}

/**
 * Gets the headers of the refusal of an untrusted peer. A request that would
 * begin an attempt names it in a header; the refusal repeats the attempt and
 * reports it as not executed. Requests about an earlier attempt carry no such
 * header, so that their refusal reports nothing about its execution.
 */
function getPeerRefusalHeaders(
  { headers }: IncomingMessage,
): Record<string, string> {
  const attempt = headers[headerNames.attempt];
  if (typeof attempt !== "string") return {};
  return { [headerNames.attempt]: attempt, [headerNames.executed]: "no" };
}

function createRequestContext(state: SidecarState): RequestContext {
  const { metrics } = state;
  return {
    ...state,
    kind: state.settings.kind,
    isDeferrable: (priority) => isDeferrable(state, priority),
    syncConfiguration: (version, sender) => {
      state.follower?.observeVersion(version, sender);
      return state.follower?.sync();
    },
    getStreamSettings: () => state.effective.get().stream,
    isLeaving: () => isLeaving(state),
    findHolder: (envelope) => state.locator?.findHolder(envelope),
    recordTurn: (envelope) => {
      if (state.locator === undefined) return;
      metrics.count("chat-turns");
      state.locator.recordTurn(envelope);
    },
    getAnswerHeaders: () => ({
      [headerNames.configurationVersion]: String(state.configuration.version),
      ...state.membership?.getAnswerHeaders(),
    }),
    maximumBodyBytes: maxBodyBytes,
  };
}

function requireOrders(state: SidecarState) {
  if (state.orders !== undefined) return state.orders;
  throw AppError.create("internal", "Sidecar has not started");
}
