import { Buffer } from "node:buffer";

const separator = Buffer.from("\n\n");

/**
 * Cuts the bytes of an event stream at the ends of its events, so that none is
 * passed on in part, and remembers the id of the last whole one.
 */
export class EventSplitter {
  #partial: Buffer = Buffer.alloc(0);
  #lastId: string | undefined;

  private constructor() {}

  /** Creates a splitter at the start of a stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Id of the last whole event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Takes bytes in and returns those up to the end of the last whole event. */
  append(bytes: Buffer): Buffer {
    const all = this.#partial.length === 0
      ? bytes
      : Buffer.concat([this.#partial, bytes]);
    const end = all.lastIndexOf(separator);
    if (end === -1) {
      this.#partial = all;
      return Buffer.alloc(0);
    }
    const whole = all.subarray(0, end + separator.length);
    this.#partial = all.subarray(end + separator.length);
    this.#lastId = findLastId(whole) ?? this.#lastId;
    return whole;
  }

  /** Takes the bytes after the last whole event, when a stream has ended. */
  takePartial(): Buffer {
    const partial = this.#partial;
    this.#partial = Buffer.alloc(0);
    return partial;
  }
}

function findLastId(events: Buffer): string | undefined {
  const text = events.toString("latin1");
  let found: string | undefined;
  for (const match of text.matchAll(/^id: ?(.*)$/gm)) found = match[1];
  return found;
}
