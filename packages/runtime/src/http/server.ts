import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:http";
import {
  AppError,
  formatProblem,
  normalizeError,
} from "@jasminetide/core/results";
import { parseAddress } from "../settings/mod.ts";

/** Handles one HTTP request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A listening server; disposing of it closes it and its connections. */
export type ListeningServer = {
  /** `ip:port` that was bound. */
  address: string;
  server: Server;
  /** Asks the other ends to use other connections for what follows. */
  announceClose(): void;
  /** Stops accepting connections and waits for the open requests. */
  close(): Promise<void>;
  [Symbol.asyncDispose](): Promise<void>;
};

/** Largest total of request headers that a listener takes. */
const maxHeaderBytes = 16_384;

/** Starts a server at `ip:port`; port 0 takes a free one. */
export async function startServer(
  address: string,
  handler: RequestHandler,
): Promise<ListeningServer> {
  let isClosing = false;
  const server = createServer(
    { maxHeaderSize: maxHeaderBytes, keepAliveTimeout: keepAliveMs },
    (request, response) => {
      if (isClosing) response.setHeader("connection", "close");
      handler(request, response);
    },
  );
  await listen(server, address);
  const unused = trackUnusedSockets(server);
  // Idle connections stay open until the close itself: a request may be on
  // its way on any of them.
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

/** Time after which idle connections are closed; longer than clients wait. */
const keepAliveMs = 65_000;

/** Period at which connections that became idle are closed. */
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

/** Closes a server; a connection that becomes idle meanwhile is closed too. */
function closeServer(
  server: Server,
  unused: ReadonlySet<Socket>,
): Promise<void> {
  const timer = setInterval(() => {
    server.closeIdleConnections();
    for (const socket of unused) socket.destroy();
  }, closePeriodMs);
  return new Promise((resolve) => {
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}

/**
 * Tracks connections that have sent no request yet. To Node.js they are not
 * idle, so they would hold up a stop until their headers time out.
 */
function trackUnusedSockets(server: Server): ReadonlySet<Socket> {
  const unused = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    unused.add(socket);
    socket.once("close", () => unused.delete(socket));
  });
  server.prependListener("request", ({ socket }) => unused.delete(socket));
  return unused;
}

/**
 * Reads a whole request body.
 *
 * @throws AppError `bodyTooLarge` beyond `limitBytes`.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      // The rest of an oversized body is read and dropped, so that the caller
      // gets to read the answer.
      if (sizeBytes <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      reject(
        AppError.create("bodyTooLarge", `Body exceeds ${limitBytes} bytes`),
      );
    });
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", reject);
  });
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
