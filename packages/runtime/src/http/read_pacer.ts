import type { Socket } from "node:net";
import { getReadCost, ReadScheduler } from "../clock/mod.ts";

/**
 * Shares the event loop among connections whose messages the HTTP library of
 * Node.js parses. It handles all that it reads from a socket at once, so the
 * sockets themselves are paused when the work of a turn is used up.
 */
export class ReadPacer {
  readonly #reads = ReadScheduler.create();
  readonly #sockets = new Set<Socket>();
  /** Work for sockets since their reading was last resumed. */
  readonly #costs = new Map<Socket, number>();
  #isPaused = false;
  #isResumptionDeferred = false;

  private constructor() {}

  /** Creates a pacer without connections. */
  static create(): ReadPacer {
    return new ReadPacer();
  }

  /** Adds a connection until it closes. */
  add(socket: Socket): void {
    if (this.#sockets.has(socket)) return;
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      this.#costs.delete(socket);
    });
    if (this.#isPaused) socket.pause();
  }

  /** Records that a piece of a body was read from a connection. */
  recordPiece(socket: Socket, sizeBytes: number): void {
    const cost = getReadCost(sizeBytes, partsOfPiece);
    this.#costs.set(socket, (this.#costs.get(socket) ?? 0) + cost);
    this.#reads.recordWork(cost);
    if (this.#isPaused || this.#reads.hasCapacity) return;
    this.#isPaused = true;
    for (const each of this.#sockets) each.pause();
    this.#reads.defer(() => this.#resume());
  }

  /** Resumes all but the connections that had most of the work. */
  #resume(): void {
    this.#isPaused = false;
    for (const socket of this.#sockets) {
      const cost = this.#costs.get(socket) ?? 0;
      if (cost >= minCostlyWork) continue;
      this.#costs.delete(socket);
      socket.resume();
    }
    this.#deferCostly();
  }

  #deferCostly(): void {
    if (this.#costs.size === 0 || this.#isResumptionDeferred) return;
    this.#isResumptionDeferred = true;
    this.#reads.defer(() => this.#resumeCostly());
  }

  /** Resumes the connection that has waited longest, one a turn. */
  #resumeCostly(): void {
    this.#isResumptionDeferred = false;
    // Its next read is expected to cost as much as the last one.
    const [first] = this.#costs;
    if (first === undefined) return;
    const [socket, cost] = first;
    this.#costs.delete(socket);
    this.#reads.recordWork(cost);
    if (!this.#isPaused) socket.resume();
    this.#deferCostly();
  }
}

/** A piece passes through the library and a stream, which is most of its cost. */
const partsOfPiece = 8;

/** Work for a connection that is resumed only after the others. */
const minCostlyWork = 128 * 1024;
