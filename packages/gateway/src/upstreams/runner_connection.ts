import { Buffer } from "node:buffer";
import { createConnection, type Socket } from "node:net";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { parseAddress } from "@jasminetide/runtime/settings";
import type { AnswerHead } from "../protocol.ts";
import { AnswerParser } from "./answer_parser.ts";

/** A request as it is written to a runner. */
export type RunnerRequest = {
  method: string;
  target: string;
  /** Names and values by turns, without framing. */
  headers: readonly string[];
  body: Buffer;
};

/** Receives the answer to one request; exactly one of the ends is called. */
export type AnswerListener = {
  /** Says whether an answer belongs to the request; strays are skipped. */
  isOwnAnswer: (head: AnswerHead) => boolean;
  onHead: (head: AnswerHead) => void;
  onBody: (bytes: Buffer) => void;
  onComplete: () => void;
  /** The answer is missing or incomplete. */
  onBroken: (reason: string) => void;
};

/** What a connection needs from its owner. */
export type RunnerConnectionOptions = {
  address: string;
  timers: TimerService;
  /** Called once when the connection can no longer be used. */
  onClosed: (connection: RunnerConnection) => void;
};

/** One connection to a runner, which carries one request at a time. */
export class RunnerConnection {
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  readonly #options: RunnerConnectionOptions;
  #listener: AnswerListener | undefined;
  #isStray = false;
  #isHeadRequest = false;
  #canStay = true;
  #idleLimitMs = defaultIdleLimitMs;
  #idleSinceMs: number;
  #isClosed = false;

  private constructor(socket: Socket, options: RunnerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#idleSinceMs = options.timers.nowMs();
    this.#parser = AnswerParser.create({
      onHead: (head, canStay) => this.#takeHead(head, canStay),
      onBody: (bytes) => {
        if (!this.#isStray) this.#listener?.onBody(bytes);
      },
      onComplete: (hasMore) => this.#complete(hasMore),
    }, () => this.#isHeadRequest);
    socket.on("data", (bytes) => this.#read(bytes));
    socket.on("end", () => this.#takeEnd());
    socket.on("error", (error) => this.#break(error.message));
    socket.on("close", () => this.#break("connection closed"));
  }

  /**
   * Opens a connection.
   *
   * @throws AppError `runnerUnreachable` when it is refused or takes longer
   * than the limit for opening.
   */
  static open(options: RunnerConnectionOptions): Promise<RunnerConnection> {
    const { ip, port } = parseAddress(options.address);
    const socket = createConnection({ host: ip, port, noDelay: true });
    socket.setKeepAlive(true, keepAliveProbeMs);
    return new Promise((resolve, reject) => {
      const fail = (reason: string) => {
        limit[Symbol.dispose]();
        socket.removeAllListeners();
        socket.on("error", () => {});
        socket.destroy();
        reject(AppError.create("runnerUnreachable", reason));
      };
      const limit = options.timers.schedule(
        openLimitMs,
        () => fail(`No connection within ${openLimitMs} ms`),
      );
      socket.once("error", (error) => fail(error.message));
      socket.once("connect", () => {
        limit[Symbol.dispose]();
        socket.removeAllListeners("error");
        resolve(new RunnerConnection(socket, options));
      });
    });
  }

  /** Whether a request may be sent on it at this time. */
  isUsable(nowMs: number): boolean {
    return !this.#isClosed && this.#canStay && this.#listener === undefined &&
      nowMs - this.#idleSinceMs < this.#idleLimitMs;
  }

  /** Whether it carries no request, and carried none since a time. */
  isIdleSince(timeMs: number): boolean {
    return this.#listener === undefined && this.#idleSinceMs <= timeMs;
  }

  /** Sends a request. The connection must be usable. */
  send(request: RunnerRequest, listener: AnswerListener): void {
    this.#listener = listener;
    this.#isHeadRequest = request.method === "HEAD";
    this.#isStray = false;
    this.#socket.write(encodeRequest(request));
  }

  /** Stops and restarts reading, for a caller that reads slowly. */
  setPaused(isPaused: boolean): void {
    if (isPaused) this.#socket.pause();
    else this.#socket.resume();
  }

  /** Closes it at once; the listener hears nothing more. */
  destroy(): void {
    this.#listener = undefined;
    this.#break("destroyed");
  }

  #read(bytes: Buffer): void {
    if (this.#listener === undefined) {
      this.#break("bytes without a request");
      return;
    }
    const error = this.#parser.read(bytes);
    if (error !== undefined) this.#break(error.message);
  }

  #takeHead(head: AnswerHead, canStay: boolean): void {
    const listener = this.#listener;
    this.#canStay &&= canStay;
    this.#idleLimitMs = getIdleLimitMs(head.rawHeaders);
    if (listener === undefined) return;
    this.#isStray = !listener.isOwnAnswer(head);
    if (!this.#isStray) listener.onHead(head);
  }

  #complete(hasMore: boolean): void {
    if (this.#isStray) {
      this.#isStray = false;
      return;
    }
    const listener = this.#listener;
    this.#listener = undefined;
    // A runner that answers before it has read the request would take the
    // rest of the body for the next one.
    const isWritten = this.#socket.writableLength === 0;
    if (hasMore || !isWritten) this.#canStay = false;
    this.#idleSinceMs = this.#options.timers.nowMs();
    if (!this.#canStay) this.#break("not kept");
    listener?.onComplete();
  }

  /** The other end closed, which ends an answer without length. */
  #takeEnd(): void {
    this.#canStay = false;
    // The event loop reports a reset as a regular end where it comes right
    // after bytes, but a socket that was reset has no other end any more.
    if (this.#socket.remotePort === undefined) {
      this.#break("connection reset");
      return;
    }
    const error = this.#listener === undefined ? undefined : this.#parser.end();
    this.#break(error?.message ?? "connection ended");
  }

  #break(reason: string): void {
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
 * Time for opening a connection. A lost first packet is only sent again after
 * a second, so another try is quicker.
 */
const openLimitMs = 300;

/** Idle time after which the system asks whether the other end is alive. */
const keepAliveProbeMs = 1000;

/** Idle time allowed when the runner does not say how long it waits. */
const defaultIdleLimitMs = 4000;

/** A request must arrive before the runner closes an idle connection. */
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
