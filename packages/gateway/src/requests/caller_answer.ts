import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { type AppError, formatProblem } from "@jasminetide/core/results";
import type { AnswerHead } from "../protocol.ts";
import { selectForwarded } from "./forwarded_headers.ts";

/** The answer to one caller: a runner's, unchanged, or a refusal of ours. */
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
   * @param isStopping whether callers should use other connections from now.
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

  /** Status that was sent, 200 before. */
  get status(): number {
    return this.#response.statusCode;
  }

  /** Whether an answer that had begun was cut off. */
  get isBrokenOff(): boolean {
    return this.#isBrokenOff;
  }

  /** Sends a runner's whole answer. */
  sendWhole(head: AnswerHead, body: Buffer): void {
    this.#writeHead(head, head.isFramed ? body.length : undefined);
    this.#response.end(body);
  }

  /** Begins to pass on a runner's answer. */
  begin(head: AnswerHead): void {
    this.#writeHead(head, undefined);
    this.#response.flushHeaders();
  }

  /** Passes on bytes; false when the caller should be waited for. */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls back when the caller has read what was written. */
  onceWritable(handler: () => void): void {
    this.#response.once("drain", handler);
  }

  /** Ends a passed-on answer as complete. */
  end(): void {
    this.#response.end();
  }

  /** Ends an answer that has begun so that it cannot look complete. */
  breakOff(): void {
    this.#isBrokenOff = true;
    this.#response.destroy();
  }

  /** Sends a refusal or failure of this router. */
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
    const headers = selectForwarded(head.rawHeaders, {
      without: length === undefined ? [] : ["content-length"],
    });
    const hasBody = head.status !== 204 && head.status !== 304 &&
      this.#response.req.method !== "HEAD";
    if (length !== undefined && hasBody) {
      headers.push("Content-Length", String(length));
    }
    if (this.#isStopping()) headers.push("Connection", "close");
    // A body of unknown length may have been cut short, so it is passed on
    // without a length too and ends with the connection.
    if (!head.isFramed) this.#response.useChunkedEncodingByDefault = false;
    this.#response.writeHead(head.status, headers);
  }
}
