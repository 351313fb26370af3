import type { Buffer } from "node:buffer";
import { validateHeaderName, validateHeaderValue } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { ByteCollector } from "@jasminetide/runtime/streams";
import { HTTPParser } from "http-parser-js";
import type { AnswerHead } from "../protocol.ts";
import { checkStatusLine } from "./check_status_line.ts";
import { ChunkedBody } from "./chunked_body.ts";
import { parseHeaderLine } from "./parse_header_line.ts";

/** Callbacks of a parser for the answers that it reads. */
export type AnswerEvents = {
  /** @param isReusable whether the runner keeps the connection open. */
  onHead: (head: AnswerHead, isReusable: boolean) => void;
  /** Called once at most for each answer in the bytes that were read. */
  onBody: (bytes: Buffer) => void;
  /** @param hasMore whether bytes follow the end of the answer. */
  onComplete: (hasMore: boolean) => void;
};

// Header values may have bytes above 127, which "ascii" would change.
Object.assign(HTTPParser, { encoding: "latin1" });

/** Fields of the library's parser that its type declarations omit. */
type ParserState = {
  chunk: Buffer;
  offset: number;
  end: number;
  state: string;
  consumeLine: () => string | undefined;
  parseHeader: (line: string, headers: string[]) => void;
  BODY_CHUNKHEAD: () => void;
};

/**
 * Parses the HTTP/1.1 answers of one connection, more strictly than the library
 * it is based on. The work and the memory for an answer grow with its bytes and
 * are limited, whatever the pieces that it is made of.
 */
export class AnswerParser {
  readonly #events: AnswerEvents;
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
  readonly #state = this.#parser as unknown as ParserState;
  /** Part of a body in the bytes that are being read. */
  readonly #body = ByteCollector.create();
  #chunks = this.#createChunks();
  /** Whether the current answer is an interim one (1xx). */
  #isInterim = false;
  /** Bytes of the current answer, with interim ones before it. */
  #bodyBytes = 0;
  #framingBytes = 0;
  /** Lines of its head and trailers. */
  #headerLines = 0;
  #interimAnswers = 0;
  /** Parts of answers that were parsed, such as chunks and header lines. */
  #pieceCount = 0;

  private constructor(events: AnswerEvents, isHeadRequest: () => boolean) {
    this.#events = events;
    const parser = this.#parser;
    this.#state.consumeLine = this.#createLineReader();
    this.#state.parseHeader = (line, headers) =>
      this.#parseHeader(line, headers);
    this.#state.BODY_CHUNKHEAD = () => this.#readChunks();
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const hasLength = checkFraming(info.headers);
      const endsWithHead = info.statusCode < 200 || isHeadRequest() ||
        statusesWithoutBody.has(info.statusCode);
      checkForwardable(info.headers);
      this.#isInterim = info.statusCode < 200;
      if (!this.#isInterim) {
        const isFramed = hasLength || endsWithHead;
        events.onHead(
          { status: info.statusCode, rawHeaders: info.headers, isFramed },
          info.shouldKeepAlive,
        );
      }
      return endsWithHead ? skipBody : readBody;
    };
    parser[HTTPParser.kOnBody] = (bytes) => this.#appendBody(bytes);
    parser[HTTPParser.kOnMessageComplete] = () => this.#complete();
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
      this.#flushBody();
      if (result instanceof Error) return result;
      this.#checkFramingBytes();
      return undefined;
    } catch (error) {
      this.#flushBody();
      return error as Error;
    }
  }

  /** Handles a regular end of the connection; an error if it was too early. */
  end(): Error | undefined {
    return this.#parser.finish() ?? undefined;
  }

  /** Counts the parts of answers that were parsed since the last call. */
  takePieceCount(): number {
    const count = this.#pieceCount;
    this.#pieceCount = 0;
    return count;
  }

  /** Creates a function that reads a line and checks it if it is the first. */
  #createLineReader(): () => string | undefined {
    const state = this.#state;
    const readLine = state.consumeLine.bind(this.#parser);
    return () => {
      const line = readLine();
      const isFirst = state.state === "RESPONSE_LINE";
      if (isFirst && line !== undefined && line !== "") checkStatusLine(line);
      return line;
    };
  }

  #createChunks(): ChunkedBody {
    return ChunkedBody.create((bytes) => this.#appendBody(bytes));
  }

  #parseHeader(line: string, headers: string[]): void {
    this.#headerLines += 1;
    this.#pieceCount += 1;
    if (this.#headerLines > maxHeaderLines) {
      throw createEndlessError(`${maxHeaderLines} lines of headers`);
    }
    if (line.includes("\r")) {
      throw AppError.create(
        "runnerFailed",
        "A header contains a carriage return",
      );
    }
    parseHeaderLine(line, headers);
  }

  #readChunks(): void {
    const state = this.#state;
    state.offset = this.#chunks.read(state.chunk, state.offset);
    if (!this.#chunks.isComplete) return;
    this.#chunks = this.#createChunks();
    state.state = "BODY_CHUNKTRAILERS";
  }

  #appendBody(bytes: Buffer): void {
    this.#framingBytes -= bytes.length;
    this.#bodyBytes += bytes.length;
    this.#pieceCount += 1;
    this.#body.append(bytes);
  }

  #flushBody(): void {
    if (this.#body.sizeBytes > 0) this.#events.onBody(this.#body.take());
  }

  #complete(): void {
    if (this.#isInterim) {
      this.#interimAnswers += 1;
      if (this.#interimAnswers <= maxInterimAnswers) return;
      throw createEndlessError(`${maxInterimAnswers} interim answers`);
    }
    this.#bodyBytes = 0;
    this.#framingBytes = 0;
    this.#headerLines = 0;
    this.#interimAnswers = 0;
    this.#flushBody();
    this.#events.onComplete(this.#state.offset < this.#state.end);
  }

  /** Limits what an answer contains beside its body. */
  #checkFramingBytes(): void {
    if (this.#framingBytes <= getFramingLimit(this.#bodyBytes)) return;
    throw createEndlessError(
      `${this.#framingBytes} bytes of framing for ${this.#bodyBytes} of a body`,
    );
  }
}

/**
 * Limit on the bytes of an answer's head, chunk sizes and trailers and of the
 * interim answers before it: as many as its body has, and more for a body that
 * is not large. A chunk of one byte has five bytes of framing.
 */
function getFramingLimit(bodyBytes: number): number {
  const addition = Math.min(8 * bodyBytes, maxAddedFramingBytes);
  return minFramingBytes + bodyBytes + addition;
}

const minFramingBytes = 128 * 1024;
const maxAddedFramingBytes = 2 * 1024 * 1024;

/** Limit on the lines of headers and trailers, interim answers included. */
const maxHeaderLines = 2000;

/** Limit on the interim answers before an answer. */
const maxInterimAnswers = 32;

function createEndlessError(contents: string): AppError {
  return AppError.create("runnerFailed", `The answer has ${contents}`);
}

/** Rejects headers that cannot be sent on, such as control characters. */
function checkForwardable(rawHeaders: readonly string[]): void {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    validateHeaderName(rawHeaders[index]);
    validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
  }
}

const statusesWithoutBody = new Set([204, 304]);

/** What the library does after a head: read the body, or expect none. */
const readBody = 0;
const skipBody = 1;

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
