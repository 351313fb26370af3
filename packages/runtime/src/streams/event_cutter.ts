import { Buffer } from "node:buffer";
import { ByteCollector } from "./byte_collector.ts";

/** Separator after each event of a stream. */
export const eventSeparator = Buffer.from("\n\n");

/**
 * Cuts the bytes of an event stream at event boundaries. Each byte is searched
 * and copied a fixed number of times, whatever the pieces that arrive.
 */
export class EventCutter {
  readonly #partial = ByteCollector.create();
  /** Whether the partial event ends with half a separator. */
  #hasHalfSeparator = false;

  private constructor() {}

  /** Creates a cutter at the start of a stream. */
  static create(): EventCutter {
    return new EventCutter();
  }

  /** Number of bytes after the last whole event. */
  get partialBytes(): number {
    return this.#partial.sizeBytes;
  }

  /** Appends bytes and returns all up to the end of the last whole event. */
  append(bytes: Buffer): Buffer {
    const end = this.#findEnd(bytes);
    const whole = end === 0 ? noBytes : this.#takeWhole(bytes.subarray(0, end));
    const rest = bytes.subarray(end);
    this.#partial.append(rest);
    if (rest.length > 0) this.#hasHalfSeparator = rest.at(-1) === lineFeed;
    return whole;
  }

  /** Removes and returns the bytes after the last whole event. */
  takePartial(): Buffer {
    this.#hasHalfSeparator = false;
    return this.#partial.take();
  }

  /** Finds where the last event ends in bytes that follow the partial one. */
  #findEnd(bytes: Buffer): number {
    const last = bytes.lastIndexOf(eventSeparator);
    if (last >= 0) return last + eventSeparator.length;
    return this.#hasHalfSeparator && bytes[0] === lineFeed ? 1 : 0;
  }

  #takeWhole(bytes: Buffer): Buffer {
    this.#hasHalfSeparator = false;
    if (this.#partial.sizeBytes === 0) return bytes;
    this.#partial.append(bytes);
    return this.#partial.take();
  }
}

const noBytes = Buffer.alloc(0);

const lineFeed = 0x0a;
