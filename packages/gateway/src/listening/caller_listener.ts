import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createServer, type RequestListener, type Server } from "node:http";
import type { CallerLimits } from "@jasminetide/core/routes";
import { parseAddress } from "@jasminetide/runtime/settings";

/** A server for callers. */
export class CallerListener {
  readonly #server: Server;
  readonly #closed: Promise<unknown>;
  #isClosingIdle = false;

  private constructor(server: Server) {
    this.#server = server;
    this.#closed = once(server, "close");
  }

  /** Starts to listen at `ip:port`. */
  static async create(address: string): Promise<CallerListener> {
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: checkPeriodMs,
      noDelay: true,
    });
    const { ip, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host: ip, port, backlog: acceptBacklog }, resolve);
    });
    return new CallerListener(server);
  }

  /** `ip:port` that was bound. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Sets what answers requests. */
  setHandler(handler: RequestListener): void {
    this.#server.on("request", (request, response) => {
      response.once("finish", () => {
        // Before the caller can send another request, that would be cut off.
        if (this.#isClosingIdle) request.socket.destroySoon();
      });
      handler(request, response);
    });
  }

  /** Applies declared limits to connections from now on. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs + limitMarginMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + limitMarginMs;
  }

  /**
   * Stops listening and closes the connections without a request, now and as
   * they fall idle, so that no request is taken that could not be finished.
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

/** Headers of one request; declared limits of deployments lie below. */
const maxHeaderBytes = 65_536;

/** Period at which slow and idle connections are looked for. */
const checkPeriodMs = 1000;

/** Added to declared limits, so that no caller within them is cut off. */
const limitMarginMs = 500;

/** Connections that wait to be accepted when many callers come at once. */
const acceptBacklog = 1024;
