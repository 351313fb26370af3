import type { Buffer } from "node:buffer";
import { EventCutter } from "@jasminetide/runtime/streams";

/**
 * Lets only whole events of a stream pass, and remembers the id of the last
 * one.
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

  /** Takes bytes in and returns those up to the end of the last whole event. */
  append(bytes: Buffer): Buffer {
    const whole = this.#cutter.append(bytes);
    this.#lastId = findLastId(whole) ?? this.#lastId;
    return whole;
  }

  /** Takes the bytes after the last whole event, when a stream has ended. */
  takePartial(): Buffer {
    return this.#cutter.takePartial();
  }
}

function findLastId(events: Buffer): string | undefined {
  const text = events.toString("latin1");
  let found: string | undefined;
  for (const match of text.matchAll(/^id: ?(.*)$/gm)) found = match[1];
  return found;
}
