import { Buffer } from "node:buffer";
import { EventCutter } from "@jasminetide/runtime/streams";

/**
 * Splits a stream of server-sent events at event ends, and keeps the id of the
 * last whole event.
 */
export class EventSplitter {
  readonly #cutter = EventCutter.create();
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

  /** Number of bytes after the last whole event. */
  get partialBytes(): number {
    return this.#cutter.partialBytes;
  }

  /** Adds bytes; returns those up to the end of the last whole event. */
  append(bytes: Buffer): Buffer {
    const whole = this.#cutter.append(bytes);
    this.#lastId = findLastId(whole) ?? this.#lastId;
    return whole;
  }

  /** Removes and returns the bytes after the last whole event. */
  takePartial(): Buffer {
    return this.#cutter.takePartial();
  }
}

/** Finds the id of the last event that has one. */
function findLastId(events: Buffer): string | undefined {
  const lineEndBefore = events.lastIndexOf("\nid:");
  const begin = lineEndBefore + 1;
  const hasId = lineEndBefore >= 0 || events.subarray(0, 3).equals(idField);
  if (!hasId) return undefined;
  const end = events.indexOf("\n", begin);
  const line = events.toString("latin1", begin, end < 0 ? undefined : end);
  return /^id: ?([^\r]*)/.exec(line)?.[1];
}

const idField = Buffer.from("id:");
