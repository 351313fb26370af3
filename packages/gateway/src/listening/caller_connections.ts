import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { TimerService } from "@jasminetide/core/timers";

/** What is known of a caller's connection. */
type Connection = {
  acceptedAtMs: number;
  /** Requests whose answers are not sent yet. */
  openRequests: number;
  /** Bytes that were read up to the end of the last request. */
  bytesBefore: number;
};

/**
 * Connections of callers. One is idle when its last answer has been sent, not
 * only written, and nothing of another request has arrived.
 */
export class CallerConnections {
  readonly #timers: TimerService;
  readonly #connections = new Map<Socket, Connection>();

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates the connections of a listener that has none yet. */
  static create(timers: TimerService): CallerConnections {
    return new CallerConnections(timers);
  }

  /** Adds a connection that was accepted. */
  add(socket: Socket): void {
    const acceptedAtMs = this.#timers.nowMs();
    const connection = { acceptedAtMs, openRequests: 0, bytesBefore: 0 };
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Records that a request was read on a connection. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.openRequests += 1;
    response.once("close", () => {
      connection.openRequests -= 1;
      connection.bytesBefore = socket.bytesRead;
    });
  }

  /** Time since a connection was accepted. */
  getAgeMs(socket: Socket): number {
    const nowMs = this.#timers.nowMs();
    return nowMs - (this.#connections.get(socket)?.acceptedAtMs ?? nowMs);
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      const { bytesBefore, openRequests } = connection;
      const isIdle = openRequests === 0 && socket.bytesRead === bytesBefore;
      if (isIdle) socket.destroySoon();
    }
  }
}
