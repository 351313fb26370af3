import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type {
  ConnectionHold,
  MemoryBudget,
  MemoryShare,
} from "@jasminetide/core/limits";
import type { TimerService } from "@jasminetide/core/timers";
import type { ReadScheduler } from "@jasminetide/runtime/clock";
import { RequestGate } from "./request_gate.ts";

/** Why a connection was closed before its caller was answered. */
export type CloseReason = "memory" | "unread" | "displaced" | "refused";

/** Options of a connection. */
export type CallerConnectionOptions = {
  timers: TimerService;
  /** Memory for what connections hold. */
  memory: MemoryBudget;
  /** Spreads pipelined requests over the turns of the event loop. */
  turns: ReadScheduler;
  /** Whether the bytes of a request count, since no one else counts them. */
  countsRequests: boolean;
  /** Time for which a caller may read nothing of its answer. */
  getUnreadLimitMs: () => number;
  onClosed: (reason: CloseReason) => void;
};

/** Connection of a caller, whose requests are handled one at a time. */
export class CallerConnection {
  readonly socket: Socket;
  readonly acceptedAtMs: number;
  readonly #options: CallerConnectionOptions;
  readonly #gate: RequestGate;
  /** Requests that wait for the one before them. */
  #waiting: (() => void)[] = [];
  #current: IncomingMessage | undefined;
  /** Requests whose answers are not sent yet. */
  #openRequests = 0;
  /** Bytes that were read up to the end of the last request. */
  #bytesBefore = 0;
  #hasServed = false;
  /** Time of the last change between a request and none. */
  #sinceMs: number;
  #unreadSinceMs: number | undefined;
  #unreadBytes = 0;
  #requestBytes = 0;
  #share: MemoryShare | undefined;

  private constructor(socket: Socket, options: CallerConnectionOptions) {
    this.socket = socket;
    this.#options = options;
    this.acceptedAtMs = options.timers.nowMs();
    this.#sinceMs = this.acceptedAtMs;
    socket.on("timeout", () => {
      if (this.#unreadSinceMs !== undefined) this.close("unread");
    });
    this.#gate = RequestGate.create(socket, {
      ...options,
      onRead: (bytes) => this.#countRead(bytes),
    });
    socket.once("close", () => this.#clear());
  }

  /** Creates the state of a connection that an HTTP server has accepted. */
  static create(
    socket: Socket,
    options: CallerConnectionOptions,
  ): CallerConnection {
    return new CallerConnection(socket, options);
  }

  /** Requests that wait for the one before them. */
  get waitingRequests(): number {
    return this.#waiting.length;
  }

  /**
   * Whether the last answer has been sent, not only written, and nothing of
   * another request has arrived.
   */
  get isIdle(): boolean {
    return this.#openRequests === 0 && this.#gate.pendingBytes === 0 &&
      this.socket.bytesRead === this.#bytesBefore;
  }

  /** What the connection waits for that is up to its caller, if anything. */
  get hold(): ConnectionHold | undefined {
    const sinceMs = this.#sinceMs;
    if (this.#openRequests === 0) {
      const isKept = this.#hasServed && this.isIdle;
      return { type: isKept ? "idle" : "silent", sinceMs };
    }
    if (this.#unreadSinceMs !== undefined) {
      return { type: "unread", sinceMs: this.#unreadSinceMs };
    }
    if (this.#current?.complete === false) return { type: "body", sinceMs };
    if (this.socket.writableNeedDrain) return { type: "unread", sinceMs };
    const isPipelined = this.#waiting.length > 0;
    return isPipelined ? { type: "pipelined", sinceMs } : undefined;
  }

  /** Handles a request once those before it are answered. */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    handler: RequestListener,
  ): void {
    this.#openRequests += 1;
    response.once("prefinish", () => this.#observeUnread());
    response.once("close", () => this.#complete());
    const begin = () => {
      this.#current = request;
      if (!this.#options.countsRequests) this.#requestBytes = 0;
      this.#sinceMs = this.#options.timers.nowMs();
      handler(request, response);
    };
    if (this.#openRequests === 1) {
      begin();
      this.#gate.defer();
      return;
    }
    this.#waiting.push(begin);
    this.#gate.hold();
    this.#countHeld();
  }

  /** Closes the connection. */
  close(reason: CloseReason): void {
    if (this.socket.destroyed) return;
    this.socket.destroy();
    this.#options.onClosed(reason);
  }

  #complete(): void {
    this.#openRequests -= 1;
    this.#bytesBefore = this.socket.bytesRead;
    this.#hasServed = true;
    this.#current = undefined;
    this.#sinceMs = this.#options.timers.nowMs();
    const wasUnread = this.#unreadSinceMs !== undefined;
    this.#unreadSinceMs = undefined;
    this.#unreadBytes = 0;
    this.#requestBytes = 0;
    if (this.#waiting.length > 0) {
      // The limit on the last answer does not hold for the next request.
      if (wasUnread) this.socket.setTimeout(0);
      this.#options.turns.defer(() => this.#beginNext());
    }
    this.#countHeld();
  }

  #beginNext(): void {
    const begin = this.#waiting.shift();
    if (begin === undefined) return;
    this.#options.turns.recordWork(pipelinedCost);
    begin();
    if (this.#waiting.length === 0) this.#gate.release();
    this.#countHeld();
  }

  /** Limits the time and the memory of an answer that the caller must read. */
  #observeUnread(): void {
    const { socket } = this;
    const unreadBytes = socket.writableLength;
    if (unreadBytes === 0) return;
    this.#unreadBytes = unreadBytes;
    this.#unreadSinceMs = this.#options.timers.nowMs();
    // Applies while nothing is sent; the library sets its own limit afterwards.
    socket.setTimeout(this.#options.getUnreadLimitMs());
    this.#countHeld();
  }

  /** Counts a head of which a part is missing, and bodies if no one else does. */
  #countRead(bytes: number): void {
    if (this.#openRequests > 0 && !this.#options.countsRequests) return;
    this.#requestBytes += bytes;
    if (this.#requestBytes <= usualHeadBytes) return;
    this.#countHeld();
  }

  #countHeld(): void {
    if (this.socket.destroyed) return;
    const bytes = this.#waiting.length * waitingBytes + this.#unreadBytes +
      this.#gate.pendingBytes + this.#requestBytes;
    if (bytes === 0 && this.#share === undefined) return;
    this.#share ??= this.#options.memory.hold(() => this.close("memory"));
    this.#share.set(bytes);
  }

  #clear(): void {
    this.#waiting = [];
    this.#share?.[Symbol.dispose]();
    this.#share = undefined;
  }
}

/** Memory of a request that waits, with the objects of the HTTP library. */
const waitingBytes = 4096;

/** Bytes up to which a head that is not complete need not be counted. */
const usualHeadBytes = 2048;

/** Work of a pipelined request: so many as fit are begun in a turn. */
const pipelinedCost = 128 * 1024;
