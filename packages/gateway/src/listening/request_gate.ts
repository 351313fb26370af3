import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { TimerService } from "@jasminetide/core/timers";
import type { ReadScheduler } from "@jasminetide/runtime/clock";

/** Options of a gate. */
export type RequestGateOptions = {
  timers: TimerService;
  /** Spreads what is put off over the turns of the event loop. */
  turns: ReadScheduler;
  /** Called with the number of bytes of each read. */
  onRead: (bytes: number) => void;
};

/**
 * Hands what was read from a connection to the HTTP library in small pieces, and
 * none while it is held. The library parses all requests of a piece at once and
 * keeps them, so that many small ones would cost far more than their bytes; what
 * is not handed over stays unread behind it, also in the kernel.
 */
export class RequestGate {
  readonly #socket: Socket;
  readonly #push: (chunk: Buffer | null) => boolean;
  readonly #options: RequestGateOptions;
  #pending: (Buffer | null)[] = [];
  #pendingBytes = 0;
  #isHeld = false;
  #isDeferred = false;

  private constructor(socket: Socket, options: RequestGateOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#push = socket.push.bind(socket);
    socket.push = (chunk: Buffer | null) => this.#take(chunk);
    // With a listener, the library takes data from the stream, not its handle.
    socket.on("data", () => {});
    socket.on("resume", () => this.#pump());
    socket.once("close", () => this.#clear());
  }

  /** Creates the gate of a connection that an HTTP server has accepted. */
  static create(socket: Socket, options: RequestGateOptions): RequestGate {
    return new RequestGate(socket, options);
  }

  /** Bytes that were read and not handed over. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Hands nothing more over until the gate is released. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Hands over what is pending, and then what is read. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#pump();
  }

  /**
   * Hands what is pending over in a later turn, when the reader of the request
   * that has just begun is there; until then the library would keep each piece.
   */
  defer(): void {
    if (this.#pending.length === 0 || this.#isDeferred) return;
    this.#isDeferred = true;
    this.#options.turns.defer(() => {
      this.#isDeferred = false;
      this.#pump();
    });
  }

  get #isOpen(): boolean {
    return !this.#isHeld && !this.#isDeferred && !this.#socket.isPaused();
  }

  #take(chunk: Buffer | null): boolean {
    if (chunk !== null) this.#options.onRead(chunk.length);
    const isSmall = chunk === null || chunk.length <= pieceBytes;
    if (isSmall && this.#pending.length === 0 && this.#isOpen) {
      return this.#push(chunk);
    }
    this.#append(chunk);
    return this.#pump();
  }

  #append(chunk: Buffer | null): void {
    if (chunk === null) {
      this.#pending.push(null);
      return;
    }
    this.#pendingBytes += chunk.length;
    for (let start = 0; start < chunk.length; start += pieceBytes) {
      this.#pending.push(chunk.subarray(start, start + pieceBytes));
    }
  }

  /**
   * Hands pieces over, as many as the turn of the event loop allows: it accepts
   * one connection a turn, so that long turns would keep new callers waiting.
   *
   * @returns whether more should be read.
   */
  #pump(): boolean {
    const { timers, turns } = this.#options;
    let wantsMore = true;
    let nowMs = timers.nowMs();
    while (this.#isOpen) {
      const piece = this.#pending.shift();
      if (piece === undefined) return wantsMore;
      this.#pendingBytes -= piece?.length ?? 0;
      wantsMore = this.#push(piece);
      const startMs = nowMs;
      nowMs = timers.nowMs();
      turns.recordWork((nowMs - startMs) * workPerMs);
      if (!turns.hasCapacity) this.defer();
    }
    return false;
  }

  #clear(): void {
    this.#pending = [];
    this.#pendingBytes = 0;
  }
}

/** Work of a millisecond; a turn has capacity for two. */
const workPerMs = 512 * 1024;

/** Size of the pieces: an ordinary request fits into one. */
const pieceBytes = 2048;
