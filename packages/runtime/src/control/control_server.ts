import { createHash, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { AppError, getViolationCounts } from "@jasminetide/core/results";
import type { AnyTRPCRouter } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  type ListeningServer,
  refusePeer,
  sendJson,
  sendProblem,
  startServer,
} from "../http/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PeerCredentials } from "../tls/mod.ts";
import type { IncomingMessage, ServerResponse } from "node:http";

/** What a control listener serves. */
export type ControlServerOptions = {
  address: string;
  router: AnyTRPCRouter;
  /** SHA-256 of the operators' key, in hexadecimal. */
  operatorKeyHash: string;
  /** Gives the state of the process; never secrets. */
  getDump: () => object;
  /** Peers need a certificate when present; plain connections otherwise. */
  credentials?: PeerCredentials;
  logger: Logger;
  /** Operators' actions by path. */
  actions?: { [path: string]: (body: unknown) => Promise<unknown> };
};

const rpcPrefix = "/rpc/";

/**
 * Starts the listener for peers (`/rpc/…`) and operators (`/dump` and
 * actions), apart from that of the callers.
 */
export function startControlServer(
  options: ControlServerOptions,
): Promise<ListeningServer> {
  const handleRpc = createHTTPHandler({
    router: options.router,
    basePath: rpcPrefix,
  });
  const { credentials, logger } = options;
  return startServer(options.address, (request, response) => {
    if (!request.url?.startsWith(rpcPrefix)) {
      handleOperator(request, response, options);
      return;
    }
    if (refusePeer(request, response, options)) return;
    handleRpc(request, response);
  }, { credentials, logger });
}

function handleOperator(
  request: IncomingMessage,
  response: ServerResponse,
  options: ControlServerOptions,
): void {
  try {
    checkOperatorKey(request, options.operatorKeyHash);
    if (request.url === "/dump") {
      sendJson(response, {
        ...options.getDump(),
        violations: Object.fromEntries(getViolationCounts()),
      });
      return;
    }
    throw AppError.create("notFound", `No operator path ${request.url}`);
  } catch (error) {
    sendProblem(response, error);
  }
}

/** Checks a bearer key against its hash in constant time. */
export function checkOperatorKey(
  request: IncomingMessage,
  keyHash: string,
): void {
  const key = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1];
  const given = createHash("sha256").update(key ?? "").digest();
  if (timingSafeEqual(given, Buffer.from(keyHash, "hex"))) return;
  throw AppError.create("unauthorized", "Operator key is missing or wrong");
}
