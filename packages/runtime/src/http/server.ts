import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import {
  AppError,
  formatProblem,
  normalizeError,
  resultCodes,
} from "@jasminetide/core/results";
import type { Logger } from "../logging/mod.ts";
import { waitForReads } from "../clock/mod.ts";
import { parseAddress } from "../settings/mod.ts";
import { checkPeer, type PeerCredentials } from "../tls/mod.ts";
import { hasCallerLeft } from "./caller_leaving.ts";
import { collectBody, type CollectBodyOptions } from "./collect_body.ts";
import { ReadPacer } from "./read_pacer.ts";

/** Handles one HTTP request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A listening server; disposing of it closes it and its connections. */
export type ListeningServer = {
  /** Bound `ip:port`. */
  address: string;
  server: Server;
  /** Sends `connection: close` with each answer from now on. */
  announceClose(): void;
  /** Stops accepting connections and waits for the open requests. */
  close(): Promise<void>;
  [Symbol.asyncDispose](): Promise<void>;
};

/** Maximum total size of the headers of a request. */
const maxHeaderBytes = 16_384;

/** Credentials of a server and the log of refused peers. */
export type SecureServerOptions = {
  /** Connections do not use TLS when absent. */
  credentials?: PeerCredentials;
  logger: Logger;
};

/** Starts a server at `ip:port`; port 0 selects a free one. */
export async function startServer(
  address: string,
  handler: RequestHandler,
  secure?: SecureServerOptions,
): Promise<ListeningServer> {
  let isClosing = false;
  const listener: RequestHandler = (request, response) => {
    if (isClosing) response.setHeader("connection", "close");
    handler(request, response);
  };
  const server = secure?.credentials === undefined
    ? createServer(serverLimits, listener)
    : createSecureServer(listener, {
      credentials: secure.credentials,
      logger: secure.logger,
      isClosing: () => isClosing,
    });
  paceConnections(server);
  await listen(server, address);
  const unused = trackUnusedSockets(server);
  // Idle connections stay open until the server closes, since a request may
  // be in flight on any of them.
  const announceClose = () => {
    isClosing = true;
  };
  const close = () => {
    announceClose();
    return closeServer(server, unused);
  };
  return {
    address: getBoundAddress(server),
    server,
    announceClose,
    close,
    async [Symbol.asyncDispose]() {
      const closed = close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Shares the event loop among the connections to all servers. */
const requestPacer = ReadPacer.create();

/** Time after which idle connections are closed; clients close theirs first. */
const keepAliveMs = 65_000;

const serverLimits = {
  maxHeaderSize: maxHeaderBytes,
  keepAliveTimeout: keepAliveMs,
};

/** Creates a TLS server that applies renewed credentials. */
function createSecureServer(
  listener: RequestHandler,
  options: Required<SecureServerOptions> & { isClosing: () => boolean },
): Server {
  const { credentials, logger, isClosing } = options;
  const server = createTlsServer(
    { ...serverLimits, ...credentials.serverOptions },
    listener,
  );
  const renewal = credentials.subscribe(() =>
    server.setSecureContext(credentials.serverOptions)
  );
  server.once("close", () => renewal[Symbol.dispose]());
  server.on("tlsClientError", (error: NodeJS.ErrnoException, socket) => {
    if (isClosing()) return;
    logger.warn("peer-refused", {
      code: resultCodes.peerUnauthorized.code,
      reason: error.code ?? error.message,
      peer: formatPeer(socket),
    });
  });
  return server;
}

/** Lets a server share the event loop with all others; see `readBody`. */
export function paceConnections(server: Server): void {
  server.on("connection", (socket: Socket) => requestPacer.add(socket));
}

/** Period at which idle connections are closed while a server stops. */
const closePeriodMs = 100;

function listen(server: Server, address: string): Promise<void> {
  const { ip, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}

function getBoundAddress(server: Server): string {
  const { address, family, port } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Closes a server, and each of its connections once it is idle. */
function closeServer(
  server: Server,
  unused: ReadonlyMap<string, Socket>,
): Promise<void> {
  const timer = setInterval(() => {
    server.closeIdleConnections();
    for (const socket of unused.values()) socket.destroy();
  }, closePeriodMs);
  return new Promise((resolve) => {
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}

/**
 * Tracks connections on which no request has arrived yet. Node.js does not
 * count them as idle, so they would delay a stop until their headers time out.
 * They are keyed by the peer's address, since a request over TLS refers to
 * another socket object than the connection event.
 */
function trackUnusedSockets(server: Server): ReadonlyMap<string, Socket> {
  const unused = new Map<string, Socket>();
  server.on("connection", (socket: Socket) => {
    const peer = formatPeer(socket);
    unused.set(peer, socket);
    socket.once("close", () => {
      if (unused.get(peer) === socket) unused.delete(peer);
    });
  });
  server.prependListener(
    "request",
    ({ socket }) => unused.delete(formatPeer(socket)),
  );
  return unused;
}

function formatPeer({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}

/** Credentials, log and headers that a refusal of a peer uses. */
export type RefusePeerOptions = SecureServerOptions & {
  /** Additional headers of the refusal. */
  headers?: Record<string, string>;
};

/**
 * Refuses a request of a peer without a certificate of the authority, if the
 * listener has credentials.
 *
 * @returns whether the request was refused and answered.
 */
export function refusePeer(
  request: IncomingMessage,
  response: ServerResponse,
  options: RefusePeerOptions,
): boolean {
  if (options.credentials === undefined) return false;
  try {
    checkPeer(request, options.logger);
    return false;
  } catch (error) {
    sendProblem(response, error, {
      ...options.headers,
      connection: "close",
    });
    return true;
  }
}

/**
 * Reads a whole request body, and what had arrived behind it by then.
 *
 * @throws AppError `bodyTooLarge` when it exceeds `limitBytes`, `callerGone` if
 * the caller has closed its connection.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
  options?: CollectBodyOptions,
): Promise<Buffer> {
  const pacer = requestPacer;
  const body = await collectBody(request, limitBytes, { pacer, ...options });
  await waitForReads();
  if (!hasCallerLeft(request.socket)) return body;
  throw AppError.create(
    "callerGone",
    "Caller left before its request was read",
  );
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  value: unknown,
  options: { status?: number; headers?: Record<string, string> } = {},
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    "content-length": body.length,
    ...options.headers,
  });
  response.end(body);
}

/** Sends an error as problem JSON (RFC 9457). */
export function sendProblem(
  response: ServerResponse,
  thrown: unknown,
  headers: Record<string, string> = {},
): void {
  const error = normalizeError(thrown);
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const problemHeaders: Record<string, string> = {
    "content-type": "application/problem+json",
    ...headers,
  };
  if (!response.req.complete) problemHeaders["connection"] = "close";
  if (error.retryAfterMs !== undefined) {
    problemHeaders["retry-after"] = String(
      Math.ceil(error.retryAfterMs / 1000),
    );
  }
  sendJson(response, formatProblem(error), {
    status: error.status,
    headers: problemHeaders,
  });
}
