import type { Buffer } from "node:buffer";
import { AppError } from "@jasminetide/core/results";

/** What the next byte of a body in chunks belongs to. */
type ChunkState =
  /** The size of a chunk, before its first digit. */
  | "size"
  /** The size of a chunk, after a digit. */
  | "sizeDigits"
  /** Blanks between the size and an extension or the end of the line. */
  | "sizeBlanks"
  | "extension"
  /** The line feed that ends the line of the size. */
  | "sizeEnd"
  | "data"
  /** The end of the line after the data of a chunk. */
  | "dataEnd"
  | "dataLineFeed";

/**
 * Reads a body in chunks (RFC 9112, section 7.1) up to its trailers. Like the
 * library that reads heads, it accepts lines that end without a carriage return.
 */
export class ChunkedBody {
  readonly #onData: (bytes: Buffer) => void;
  #state: ChunkState = "size";
  #digits = 0;
  /** Size of the current chunk, or what is left of it. */
  #leftBytes = 0;
  #isComplete = false;

  private constructor(onData: (bytes: Buffer) => void) {
    this.#onData = onData;
  }

  /** Creates a reader at the start of a body. */
  static create(onData: (bytes: Buffer) => void): ChunkedBody {
    return new ChunkedBody(onData);
  }

  /** Whether the last chunk was read, so that trailers follow. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /**
   * Reads bytes from an offset on, up to their end or that of the last chunk.
   *
   * @returns the offset after the last byte that was read.
   * @throws AppError `runnerFailed` when they are malformed.
   */
  read(bytes: Buffer, offset: number): number {
    let next = offset;
    while (next < bytes.length && !this.#isComplete) {
      next = this.#state === "data"
        ? this.#readData(bytes, next)
        : this.#readFraming(bytes, next);
    }
    return next;
  }

  #readData(bytes: Buffer, offset: number): number {
    const end = Math.min(bytes.length, offset + this.#leftBytes);
    this.#leftBytes -= end - offset;
    if (this.#leftBytes === 0) this.#state = "dataEnd";
    this.#onData(bytes.subarray(offset, end));
    return end;
  }

  #readFraming(bytes: Buffer, offset: number): number {
    const byte = bytes[offset];
    switch (this.#state) {
      case "size":
      case "sizeDigits":
        this.#readSize(byte);
        break;
      case "sizeBlanks":
        if (!isBlank(byte)) this.#readAfterSize(byte);
        break;
      case "extension":
        return this.#skipExtension(bytes, offset);
      case "sizeEnd":
        if (byte !== lineFeed) throw createSizeError();
        this.#beginData();
        break;
      case "dataEnd":
        if (byte === carriageReturn) this.#state = "dataLineFeed";
        else this.#beginSize(byte);
        break;
      case "dataLineFeed":
        this.#beginSize(byte);
    }
    return offset + 1;
  }

  #readSize(byte: number): void {
    const digit = getHexDigit(byte);
    if (digit === undefined) {
      if (this.#state === "size") throw createSizeError();
      this.#readAfterSize(byte);
      return;
    }
    this.#digits += 1;
    if (this.#digits > maxSizeDigits) throw createSizeError();
    this.#leftBytes = this.#leftBytes * 16 + digit;
    this.#state = "sizeDigits";
  }

  #readAfterSize(byte: number): void {
    if (byte === lineFeed) this.#beginData();
    else if (byte === carriageReturn) this.#state = "sizeEnd";
    else if (byte === semicolon) this.#state = "extension";
    else if (isBlank(byte)) this.#state = "sizeBlanks";
    else throw createSizeError();
  }

  #skipExtension(bytes: Buffer, offset: number): number {
    const end = bytes.indexOf(lineFeed, offset);
    if (end < 0) return bytes.length;
    this.#beginData();
    return end + 1;
  }

  #beginData(): void {
    if (this.#leftBytes === 0) this.#isComplete = true;
    else this.#state = "data";
  }

  #beginSize(byte: number): void {
    if (byte !== lineFeed) {
      throw AppError.create("runnerFailed", "A chunk has no end");
    }
    this.#state = "size";
    this.#digits = 0;
  }
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const semicolon = 0x3b;

/** Limit on the digits of a size, which is 4 GiB at most then. */
const maxSizeDigits = 8;

function isBlank(byte: number): boolean {
  return byte === 0x20 || byte === 0x09;
}

function getHexDigit(byte: number): number | undefined {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30;
  const lowerCase = byte | 0x20;
  if (lowerCase >= 0x61 && lowerCase <= 0x66) return lowerCase - 0x57;
  return undefined;
}

function createSizeError(): AppError {
  return AppError.create(
    "runnerFailed",
    "The chunk size is not a hexadecimal number",
  );
}
