import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  chooseConnectionToClose,
  type HeldConnection,
} from "@jasminetide/core/limits";
import {
  CallerConnection,
  type CallerConnectionOptions,
} from "./caller_connection.ts";

/** Options of the connections of a listener. */
export type CallerConnectionsOptions = CallerConnectionOptions & {
  /** Limit on connections. */
  maxConnections: number;
};

/** State of the connections of a listener, for dumps. */
export type ConnectionsSnapshot = {
  connections: number;
  maxConnections: number;
  /** Pipelined requests that wait for the one before them. */
  waitingRequests: number;
};

/** Connections to one listener, bounded in number. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections = new Map<Socket, CallerConnection>();
  /** Number of connections by the caller's address. */
  readonly #addresses = new Map<string, number>();

  private constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Creates the connections of a listener that has none yet. */
  static create(options: CallerConnectionsOptions): CallerConnections {
    return new CallerConnections(options);
  }

  /**
   * Adds a connection that was accepted. If there are too many, one that waits
   * for its caller is closed, or else the new one, which carries no request yet.
   */
  add(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    this.#options.turns.recordWork(acceptCost);
    if (this.#connections.size >= this.#options.maxConnections) {
      const held = chooseConnectionToClose(
        this.#listHeld(),
        this.#options.timers.nowMs(),
      );
      if (held === undefined) {
        socket.destroy();
        this.#options.onClosed("refused");
        return;
      }
      this.#remove(held.connection.socket);
      held.connection.close("displaced");
    }
    this.#connections.set(
      socket,
      CallerConnection.create(socket, this.#options),
    );
    this.#countAddress(address, 1);
    socket.once("close", () => this.#remove(socket, address));
  }

  /** Handles a request once those before it on its connection are answered. */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    handler: RequestListener,
  ): void {
    this.#connections.get(request.socket)?.serve(request, response, handler);
  }

  /** Time since a connection was accepted. */
  getAgeMs(socket: Socket): number {
    const nowMs = this.#options.timers.nowMs();
    return nowMs - (this.#connections.get(socket)?.acceptedAtMs ?? nowMs);
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (connection.isIdle) socket.destroySoon();
    }
  }

  getSnapshot(): ConnectionsSnapshot {
    let waitingRequests = 0;
    for (const each of this.#connections.values()) {
      waitingRequests += each.waitingRequests;
    }
    return {
      connections: this.#connections.size,
      maxConnections: this.#options.maxConnections,
      waitingRequests,
    };
  }

  *#listHeld(): Iterable<HeldConnection & { connection: CallerConnection }> {
    for (const connection of this.#connections.values()) {
      const { hold, socket } = connection;
      if (hold === undefined) continue;
      const address = socket.remoteAddress ?? "";
      const connectionsOfAddress = this.#addresses.get(address) ?? 1;
      yield { connection, hold, connectionsOfAddress };
    }
  }

  #remove(socket: Socket, address = socket.remoteAddress ?? ""): void {
    if (this.#connections.delete(socket)) this.#countAddress(address, -1);
  }

  #countAddress(address: string, change: 1 | -1): void {
    const count = (this.#addresses.get(address) ?? 0) + change;
    if (count > 0) this.#addresses.set(address, count);
    else this.#addresses.delete(address);
  }
}

/** Work that others put off in a turn in which a connection was accepted. */
const acceptCost = 768 * 1024;
