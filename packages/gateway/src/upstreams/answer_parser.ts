import type { Buffer } from "node:buffer";
import { validateHeaderName, validateHeaderValue } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { HTTPParser } from "http-parser-js";
import type { AnswerHead } from "../protocol.ts";

/** Callbacks of a parser for the answers that it reads. */
export type AnswerEvents = {
  /** @param isReusable whether the runner keeps the connection open. */
  onHead: (head: AnswerHead, isReusable: boolean) => void;
  onBody: (bytes: Buffer) => void;
  /** @param hasMore whether bytes follow the end of the answer. */
  onComplete: (hasMore: boolean) => void;
};

/** Fields of the library's parser that its type declarations omit. */
type ParserState = {
  offset: number;
  end: number;
  consumeLine(): string | undefined;
  body_bytes: number;
  state: string;
  BODY_CHUNKHEAD: () => void;
};

/**
 * Parses the HTTP/1.1 answers of one connection, more strictly than the library
 * it is based on.
 */
export class AnswerParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
  /** Whether the current answer is an interim one (1xx). */
  #isInterim = false;
  /** Bytes read since the last byte of a body or the last whole answer. */
  #framingBytes = 0;

  private constructor(events: AnswerEvents, isHeadRequest: () => boolean) {
    const parser = this.#parser;
    const state = parser as unknown as ParserState;
    state.BODY_CHUNKHEAD = () => readChunkHead(state);
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const isFramed = checkFraming(info.headers) ||
        statusesWithoutBody.has(info.statusCode) || isHeadRequest();
      checkForwardable(info.headers);
      this.#isInterim = info.statusCode < 200;
      if (this.#isInterim) return 0;
      events.onHead(
        { status: info.statusCode, rawHeaders: info.headers, isFramed },
        info.shouldKeepAlive,
      );
      return isHeadRequest() ? 1 : 0;
    };
    parser[HTTPParser.kOnBody] = (bytes) => {
      this.#framingBytes = 0;
      events.onBody(bytes);
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (this.#isInterim) return;
      this.#framingBytes = 0;
      events.onComplete(state.offset < state.end);
    };
  }

  /**
   * Creates a parser.
   *
   * @param isHeadRequest whether the request in flight has the method HEAD,
   * whose answers have no body.
   */
  static create(
    events: AnswerEvents,
    isHeadRequest: () => boolean,
  ): AnswerParser {
    return new AnswerParser(events, isHeadRequest);
  }

  /** Parses bytes; returns an error if they are malformed. */
  read(bytes: Buffer): Error | undefined {
    try {
      this.#framingBytes += bytes.length;
      const result = this.#parser.execute(bytes);
      if (result instanceof Error) return result;
      return this.#framingBytes > maxFramingBytes
        ? createEndlessError()
        : undefined;
    } catch (error) {
      return error as Error;
    }
  }

  /** Handles a regular end of the connection; an error if it was too early. */
  end(): Error | undefined {
    return this.#parser.finish() ?? undefined;
  }
}

/**
 * Limit on the bytes of heads, interim answers, chunk sizes and trailers that
 * are read in a row. The library limits heads only.
 */
const maxFramingBytes = 128 * 1024;

function createEndlessError(): AppError {
  return AppError.create(
    "runnerFailed",
    `The answer has ${maxFramingBytes} bytes without a part of its body`,
  );
}

/** Rejects malformed chunk sizes, which the library reads as the last chunk. */
function readChunkHead(state: ParserState): void {
  const line = state.consumeLine();
  if (line === undefined) return;
  if (!/^[0-9a-f]{1,8}[ \t]*(;.*)?$/i.test(line)) {
    throw AppError.create(
      "runnerFailed",
      "The chunk size is not a hexadecimal number",
    );
  }
  state.body_bytes = parseInt(line, 16);
  state.state = state.body_bytes === 0 ? "BODY_CHUNKTRAILERS" : "BODY_CHUNK";
}

/** Rejects headers that cannot be sent on, such as control characters. */
function checkForwardable(rawHeaders: readonly string[]): void {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    validateHeaderName(rawHeaders[index]);
    validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
  }
}

const statusesWithoutBody = new Set([204, 304]);

/**
 * Rejects answers whose length is ambiguous.
 *
 * @returns whether the headers define where the body ends.
 */
function checkFraming(rawHeaders: readonly string[]): boolean {
  let lengths = 0;
  let encodings = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    const value = rawHeaders[index + 1];
    if (name === "content-length") {
      lengths += 1;
      if (!/^\d+$/.test(value)) lengths += 1;
    }
    if (name === "transfer-encoding") {
      encodings += value.toLowerCase() === "chunked" ? 1 : 2;
    }
  }
  if (lengths + encodings <= 1) return lengths + encodings === 1;
  throw AppError.create(
    "runnerFailed",
    "The length of the answer is ambiguous",
  );
}
