import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { type AppError, formatProblem } from "@jasminetide/core/results";
import type { AnswerHead } from "../protocol.ts";
import { selectForwardedHeaders } from "./forwarded_headers.ts";

/** Answer to one caller: a runner's, unchanged, or an error of this router. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #isStopping: () => boolean;
  #isBrokenOff = false;

  private constructor(response: ServerResponse, isStopping: () => boolean) {
    this.#response = response;
    this.#isStopping = isStopping;
  }

  /**
   * Creates the answer to a request.
   *
   * @param isStopping whether the router is stopping, so that callers are
   * instructed to close their connections.
   */
  static create(
    response: ServerResponse,
    isStopping: () => boolean,
  ): CallerAnswer {
    return new CallerAnswer(response, isStopping);
  }

  /** Whether the caller has been sent a status. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Status that was sent; 200 until then. */
  get status(): number {
    return this.#response.statusCode;
  }

  /** Whether the answer was cut off after it had begun. */
  get isBrokenOff(): boolean {
    return this.#isBrokenOff;
  }

  /** Sends a runner's buffered answer. */
  sendBuffered(head: AnswerHead, body: Buffer): void {
    // A body without framing may be incomplete. Framing would mark it as
    // complete, so it is sent without and ends with the connection.
    if (!head.isFramed) this.#response.useChunkedEncodingByDefault = false;
    this.#writeHead(head, head.isFramed ? body.length : undefined);
    this.#response.end(body);
  }

  /**
   * Starts to relay a runner's stream. It is framed even if the runner's is not,
   * so that one that is cut off after a whole event does not look complete.
   */
  begin(head: AnswerHead): void {
    this.#writeHead(head, undefined);
    this.#response.flushHeaders();
  }

  /**
   * Relays bytes.
   *
   * @returns false when the caller must read before more is written.
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls the handler once when the write buffer has drained. */
  onceWritable(handler: () => void): void {
    this.#response.once("drain", handler);
  }

  /** Ends a relayed answer as complete. */
  end(): void {
    this.#response.end();
  }

  /** Cuts off an answer that has begun, so that it cannot look complete. */
  breakOff(): void {
    this.#isBrokenOff = true;
    this.#response.destroy();
  }

  /** Sends an error of this router as problem details. */
  sendError(error: AppError): void {
    const body = Buffer.from(JSON.stringify(formatProblem(error)));
    const headers: [string, string][] = [
      ["Content-Type", "application/problem+json"],
      ["Content-Length", String(body.length)],
    ];
    if (error.retryAfterMs !== undefined) {
      headers.push(["Retry-After", (error.retryAfterMs / 1000).toFixed(2)]);
    }
    if (this.#isStopping() || !this.#response.req.complete) {
      headers.push(["Connection", "close"]);
    }
    this.#response.writeHead(error.status, headers.flat());
    this.#response.end(body);
  }

  #writeHead(head: AnswerHead, length: number | undefined): void {
    const headers = selectForwardedHeaders(head.rawHeaders, {
      without: length === undefined ? [] : ["content-length"],
    });
    const hasBody = head.status !== 204 && head.status !== 304 &&
      this.#response.req.method !== "HEAD";
    if (length !== undefined && hasBody) {
      headers.push("Content-Length", String(length));
    }
    if (this.#isStopping()) headers.push("Connection", "close");
    this.#response.writeHead(head.status, headers);
  }
}
