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

/** Address, procedures and operator endpoints of a control listener. */
export type ControlServerOptions = {
  address: string;
  router: AnyTRPCRouter;
  /** SHA-256 of the operator key, in hexadecimal. */
  operatorKeyHash: string;
  /** Gets the state of the process, without secrets. */
  getDump: () => object;
  /** When present, peers need a certificate; otherwise TLS is not used. */
  credentials?: PeerCredentials;
  logger: Logger;
  /** Actions for operators, by path. */
  actions?: { [path: string]: (body: unknown) => Promise<unknown> };
};

const rpcPrefix = "/rpc/";

/**
 * Starts the listener for peers (`/rpc/…`) and operators (`/dump` and
 * actions), which is separate from the listener for callers.
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
    throw AppError.create(
      "notFound",
      `Operator path ${request.url} does not exist`,
    );
  } catch (error) {
    sendProblem(response, error);
  }
}

/**
 * Compares the hash of a request's bearer key in constant time.
 *
 * @throws AppError `unauthorized` when the key is missing or wrong.
 */
export function checkOperatorKey(
  request: IncomingMessage,
  keyHash: string,
): void {
  const key = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1];
  const given = createHash("sha256").update(key ?? "").digest();
  if (timingSafeEqual(given, Buffer.from(keyHash, "hex"))) return;
  throw AppError.create("unauthorized", "Operator key is missing or wrong");
}
