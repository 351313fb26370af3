import { Buffer } from "node:buffer";
import { createConnection, type Socket } from "node:net";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { getReadCost, type ReadScheduler } from "@jasminetide/runtime/clock";
import { parseAddress } from "@jasminetide/runtime/settings";
import type { AnswerHead } from "../protocol.ts";
import { AnswerParser } from "./answer_parser.ts";

/** Request to write to a runner. */
export type RunnerRequest = {
  /** Attempt of the caller that the request belongs to; empty if unknown. */
  attemptId: string;
  method: string;
  target: string;
  /** Alternating names and values, without framing headers. */
  headers: readonly string[];
  body: Buffer;
};

/**
 * Receives the answer to one request. Either `onComplete` or `onBroken` is
 * called once, unless the connection is destroyed first.
 */
export type AnswerListener = {
  /** Whether an answer belongs to the request; others are skipped. */
  isOwnAnswer: (head: AnswerHead) => boolean;
  onHead: (head: AnswerHead) => void;
  onBody: (bytes: Buffer) => void;
  onComplete: () => void;
  /** Called when the answer is missing or incomplete. */
  onBroken: (reason: string) => void;
};

/** Options of a connection. */
export type RunnerConnectionOptions = {
  address: string;
  timers: TimerService;
  /** Shares the event loop among the connections to all runners. */
  reads: ReadScheduler;
  /** Called once when the connection can no longer be used. */
  onClosed: (connection: RunnerConnection) => void;
};

/** Connection to a runner, which carries one request at a time. */
export class RunnerConnection {
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  readonly #options: RunnerConnectionOptions;
  #listener: AnswerListener | undefined;
  /** Whether the answer being read belongs to another request. */
  #isStray = false;
  /** Answers to other requests since the last request, and their bodies. */
  #strayAnswers = 0;
  #strayBytes = 0;
  #isHeadRequest = false;
  /** The last attempts of which a request was sent on the connection. */
  readonly #carriedIds = new Set<string>();
  #requests = 0;
  #isReusable = true;
  #idleLimitMs = defaultIdleLimitMs;
  #idleSinceMs: number;
  #isClosed = false;
  /** Whether the caller of the request in flight reads slowly. */
  #isCallerSlow = false;
  /** Received bytes whose parsing was put off. */
  #unread: Buffer | undefined;

  private constructor(socket: Socket, options: RunnerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#idleSinceMs = options.timers.nowMs();
    this.#parser = AnswerParser.create({
      onHead: (head, isReusable) => this.#handleHead(head, isReusable),
      onBody: (bytes) => {
        if (this.#isStray) this.#skip(bytes);
        else this.#listener?.onBody(bytes);
      },
      onComplete: (hasMore) => this.#complete(hasMore),
    }, () => this.#isHeadRequest);
    socket.on("data", (bytes) => this.#read(bytes));
    socket.on("end", () => this.#handleEnd());
    socket.on("error", (error) => this.#handleLoss(error.message));
    socket.on("close", () => this.#handleLoss("connection closed"));
  }

  /**
   * Opens a connection.
   *
   * @throws AppError `runnerUnreachable` when it is refused or takes longer
   * than the connect timeout.
   */
  static open(options: RunnerConnectionOptions): Promise<RunnerConnection> {
    const { ip, port } = parseAddress(options.address);
    const socket = createConnection({ host: ip, port, noDelay: true });
    socket.setKeepAlive(true, keepAliveDelayMs);
    return new Promise((resolve, reject) => {
      const fail = (reason: string, cause?: Error) => {
        timeout[Symbol.dispose]();
        socket.removeAllListeners();
        socket.on("error", () => {});
        socket.destroy();
        reject(AppError.create("runnerUnreachable", reason, { cause }));
      };
      const timeout = options.timers.schedule(
        connectTimeoutMs,
        () => fail(`Could not connect within ${connectTimeoutMs} ms`),
      );
      socket.once("error", (error) => fail(error.message, error));
      socket.once("connect", () => {
        timeout[Symbol.dispose]();
        socket.removeAllListeners("error");
        resolve(new RunnerConnection(socket, options));
      });
    });
  }

  /** Whether neither side has closed the connection, as far as was read. */
  get isOpen(): boolean {
    return !this.#isClosed;
  }

  /** Whether a request may be sent on this connection now. */
  isUsable(nowMs: number): boolean {
    return !this.#isClosed && this.#isReusable &&
      this.#listener === undefined &&
      nowMs - this.#idleSinceMs < this.#idleLimitMs;
  }

  /**
   * Whether an answer on the connection can belong to an earlier request, since
   * nothing in the answer tells the two apart.
   */
  hasCarried(attemptId: string): boolean {
    if (attemptId === "") return this.#requests > 0;
    return this.#carriedIds.has(attemptId);
  }

  /** Whether only one request was sent on the connection. */
  get isFirstRequest(): boolean {
    return this.#requests === 1;
  }

  /** Whether the connection has been idle since a time. */
  isIdleSince(timeMs: number): boolean {
    return this.#listener === undefined && this.#idleSinceMs <= timeMs;
  }

  /** Sends a request. The connection must be usable. */
  send(request: RunnerRequest, listener: AnswerListener): void {
    this.#listener = listener;
    this.#recordCarried(request.attemptId);
    this.#isHeadRequest = request.method === "HEAD";
    this.#isStray = false;
    this.#strayAnswers = 0;
    this.#strayBytes = 0;
    this.#socket.write(encodeRequest(request));
  }

  /**
   * Pauses or resumes reading, for a caller that reads slowly. A pause ends with
   * the answer, since the connection may carry another caller's request next.
   */
  setPaused(isPaused: boolean): void {
    this.#isCallerSlow = isPaused;
    this.#updatePaused();
  }

  /**
   * Closes the connection at once; the listener is not called again. With a
   * request in flight the connection is reset: what the network has not delivered
   * yet would otherwise arrive, and run, after the request was given up.
   */
  destroy(): void {
    if (this.#listener !== undefined) markForReset(this.#socket);
    this.#listener = undefined;
    this.#close("destroyed");
  }

  #recordCarried(attemptId: string): void {
    this.#requests += 1;
    this.#carriedIds.add(attemptId);
    if (this.#carriedIds.size <= maxCarriedIds) return;
    const [first] = this.#carriedIds;
    this.#carriedIds.delete(first);
  }

  #read(bytes: Buffer): void {
    if (this.#listener === undefined) {
      this.#close("received bytes without a request in flight");
      return;
    }
    const { reads } = this.#options;
    if (reads.hasCapacity) {
      this.#parse(bytes);
      return;
    }
    this.#unread = bytes;
    this.#updatePaused();
    reads.defer(() => this.#parseUnread());
  }

  #parse(bytes: Buffer): void {
    const error = this.#parser.read(bytes);
    const cost = getReadCost(bytes.length, this.#parser.takePieceCount());
    this.#options.reads.recordWork(cost);
    if (error !== undefined) this.#close(error.message);
  }

  /** Parses the bytes that were put off, if there are any. */
  #parseUnread(): void {
    const bytes = this.#unread;
    this.#unread = undefined;
    if (bytes === undefined || this.#isClosed) return;
    this.#parse(bytes);
    this.#updatePaused();
  }

  #updatePaused(): void {
    if (this.#isCallerSlow || this.#unread !== undefined) this.#socket.pause();
    else this.#socket.resume();
  }

  /** Handles an irregular end, after what was received before it. */
  #handleLoss(reason: string): void {
    this.#parseUnread();
    this.#close(reason);
  }

  #handleHead(head: AnswerHead, isReusable: boolean): void {
    const listener = this.#listener;
    this.#isReusable &&= isReusable;
    this.#idleLimitMs = getIdleLimitMs(head.rawHeaders);
    if (listener === undefined) return;
    this.#isStray = !listener.isOwnAnswer(head);
    if (!this.#isStray) {
      listener.onHead(head);
      return;
    }
    this.#strayAnswers += 1;
    if (this.#strayAnswers <= maxStrayAnswers) return;
    this.#close(`received ${this.#strayAnswers} answers to other requests`);
  }

  /** Skips a part of the body of an answer to another request. */
  #skip(bytes: Buffer): void {
    this.#strayBytes += bytes.length;
    if (this.#strayBytes <= maxStrayBytes) return;
    this.#close(`received ${this.#strayBytes} bytes for other requests`);
  }

  #complete(hasMore: boolean): void {
    if (this.#isStray) {
      this.#isStray = false;
      return;
    }
    const listener = this.#listener;
    this.#listener = undefined;
    this.setPaused(false);
    // A runner that answers before it has read the whole request would parse
    // the rest of the body as the next request.
    const isWritten = this.#socket.writableLength === 0;
    if (hasMore || !isWritten) this.#isReusable = false;
    this.#idleSinceMs = this.#options.timers.nowMs();
    if (!this.#isReusable) this.#close("not reusable");
    listener?.onComplete();
  }

  /** Handles the runner's end of data, which ends an answer without framing. */
  #handleEnd(): void {
    this.#parseUnread();
    this.#isReusable = false;
    // The event loop reports a reset that directly follows data as a regular
    // end, but a socket that was reset has no remote port any more.
    if (this.#socket.remotePort === undefined) {
      this.#close("connection reset");
      return;
    }
    const error = this.#listener === undefined ? undefined : this.#parser.end();
    this.#close(error?.message ?? "connection ended");
  }

  #close(reason: string): void {
    const listener = this.#listener;
    this.#listener = undefined;
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#socket.destroy();
      this.#options.onClosed(this);
    }
    listener?.onBroken(reason);
  }
}

/**
 * Lets `destroy` reset a socket. The library's `resetAndDestroy` waits until all
 * was written and closes the connection regularly first.
 */
function markForReset(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true });
}

/**
 * Timeout for opening a connection. A lost first packet is retransmitted only
 * after a second, so another attempt is quicker.
 */
const connectTimeoutMs = 300;

/** Attempts that are remembered: more than follow before one comes again. */
const maxCarriedIds = 100;

/** Limits on answers to other requests before the answer to a request. */
const maxStrayAnswers = 16;
const maxStrayBytes = 4 * 1024 * 1024;

/** Idle time after which the system sends TCP keep-alive probes. */
const keepAliveDelayMs = 1000;

/** Idle limit for runners that send no `Keep-Alive` timeout. */
const defaultIdleLimitMs = 4000;

/**
 * Margin below the runner's idle timeout, so that a request arrives before the
 * runner closes the connection.
 */
const idleMarginMs = 500;

function getIdleLimitMs(rawHeaders: readonly string[]): number {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== "keep-alive") continue;
    const seconds = /timeout=(\d+)/.exec(rawHeaders[index + 1])?.[1];
    if (seconds === undefined) continue;
    return Math.max(0, Number(seconds) * 1000 - idleMarginMs);
  }
  return defaultIdleLimitMs;
}

function encodeRequest(request: RunnerRequest): Buffer {
  let head = `${request.method} ${request.target} HTTP/1.1\r\n`;
  for (let index = 0; index < request.headers.length; index += 2) {
    head += `${request.headers[index]}: ${request.headers[index + 1]}\r\n`;
  }
  const needsLength = request.body.length > 0 ||
    !methodsWithoutBody.has(request.method);
  if (needsLength) head += `Content-Length: ${request.body.length}\r\n`;
  return Buffer.concat([Buffer.from(`${head}\r\n`, "latin1"), request.body]);
}

const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
