import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { createServer, type RequestListener, type Server } from "node:http";
import type { CallerLimits } from "@jasminetide/core/routes";
import { paceConnections } from "@jasminetide/runtime/http";
import { parseAddress } from "@jasminetide/runtime/settings";
import type {
  CallerConnections,
  ConnectionsSnapshot,
} from "./caller_connections.ts";
import type { ConnectionGuard } from "./connection_guard.ts";

/** Options of a listener. */
export type CallerListenerOptions = {
  address: string;
  guard: ConnectionGuard;
  maxConnections: number;
};

/** HTTP server for callers. */
export class CallerListener {
  readonly #server: Server;
  readonly #closed: Promise<unknown>;
  readonly #connections: CallerConnections;
  #isClosingIdle = false;

  private constructor(
    server: Server,
    { guard, maxConnections }: CallerListenerOptions,
  ) {
    this.#server = server;
    this.#closed = once(server, "close");
    this.#connections = guard.createConnections({
      maxConnections,
      countsRequests: false,
      getUnreadLimitMs: () => server.keepAliveTimeout,
    });
    server.on("connection", (socket) => this.#connections.add(socket));
    // The library would close connections whose answer isn't sent yet.
    server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /** Starts to listen at `ip:port`. */
  static async create(
    options: CallerListenerOptions,
  ): Promise<CallerListener> {
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: checkPeriodMs,
      noDelay: true,
    });
    paceConnections(server);
    const { ip, port } = parseAddress(options.address);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host: ip, port, backlog: acceptBacklog }, resolve);
    });
    return new CallerListener(server, options);
  }

  /** `ip:port` that the server is bound to. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Time since a caller's connection was accepted. */
  getConnectionAgeMs(socket: Socket): number {
    return this.#connections.getAgeMs(socket);
  }

  /** Sets the handler of requests. */
  setHandler(handler: RequestListener): void {
    this.#server.on("request", (request, response) => {
      response.once("finish", () => {
        // Close before the caller sends another request, which would be lost.
        if (this.#isClosingIdle) request.socket.destroySoon();
      });
      this.#connections.serve(request, response, handler);
    });
  }

  /** State of the connections, for dumps. */
  getSnapshot(): ConnectionsSnapshot {
    return this.#connections.getSnapshot();
  }

  /** Sets the declared limits on callers' connections. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs + limitMarginMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + limitMarginMs;
  }

  /**
   * Stops listening and closes idle connections, now and as they become idle,
   * so that no request is accepted that could not be completed.
   */
  closeIdle(): void {
    this.#isClosingIdle = true;
    if (this.#server.listening) this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes every connection. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#server.listening) this.#server.close();
    this.#server.closeAllConnections();
    await this.#closed;
  }
}

/** Maximum size of a request's headers; declared limits are lower. */
const maxHeaderBytes = 65_536;

/** Period at which connections are checked against the limits. */
const checkPeriodMs = 1000;

/** Added to declared limits, so that no caller within them is disconnected. */
const limitMarginMs = 500;

/** Maximum connections that wait to be accepted when many callers connect. */
const acceptBacklog = 1024;
