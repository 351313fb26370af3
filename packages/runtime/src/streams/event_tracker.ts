import { Buffer } from "node:buffer";
import { EventCutter, eventSeparator } from "./event_cutter.ts";

/** Data of the last event of a stream in OpenAI's protocol. */
const endMarkData = "[DONE]";

/**
 * Matches a `content` field that is not empty. Quotes inside a JSON string are
 * escaped, so it matches fields only.
 */
const tokenPattern = /"content":\s*"(?!")/;

/** Progress of an event stream. */
export type StreamProgress =
  /** More tokens are expected. */
  | "open"
  /** The last token has arrived, the end mark has not. */
  | "finished"
  /** The end mark has arrived. */
  | "ended";

/**
 * Tracks the events of a chat completion stream, so that an interrupted stream
 * can be resumed at the token after the last whole one.
 */
export class EventTracker {
  readonly #cutter = EventCutter.create();
  #last: Buffer = Buffer.alloc(0);
  #events = 0;
  #tokens = 0;

  private constructor() {}

  /** Creates a tracker at the start of a stream. */
  static create(): EventTracker {
    return new EventTracker();
  }

  /** Number of events with a token. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Number of whole events. */
  get events(): number {
    return this.#events;
  }

  /** Size of the last whole event with its separator. */
  get lastEventBytes(): number {
    return this.#last.length + eventSeparator.length;
  }

  /** Appends bytes and returns all up to the end of the last whole event. */
  append(chunk: Buffer): Buffer {
    const whole = this.#cutter.append(chunk);
    this.#count(whole);
    return whole;
  }

  /** Drops the bytes of an incomplete event. */
  dropPartial(): void {
    this.#cutter.takePartial();
  }

  /** Gets the progress of the stream, by its last whole event. */
  getProgress(): StreamProgress {
    if (this.#events === 0) return "open";
    const text = this.#last.toString("utf8").trim();
    const data = text.replace(/^data: ?/, "");
    if (data === endMarkData) return "ended";
    return hasFinishReason(data) ? "finished" : "open";
  }

  #count(whole: Buffer): void {
    let begin = 0;
    let end = whole.indexOf(eventSeparator);
    while (end !== -1) {
      this.#events += 1;
      this.#last = whole.subarray(begin, end);
      if (hasToken(this.#last)) this.#tokens += 1;
      begin = end + eventSeparator.length;
      end = whole.indexOf(eventSeparator, begin);
    }
  }
}

/** Bytes of the event that ends a stream. */
export const endMarkEvent = Buffer.from(`data: ${endMarkData}\n\n`);

/** Checks whether an event has content that is not empty. */
function hasToken(event: Buffer): boolean {
  return tokenPattern.test(event.toString("latin1"));
}

function hasFinishReason(data: string): boolean {
  try {
    const event = JSON.parse(data) as {
      choices?: { finish_reason?: string | null }[];
    };
    const choice = event.choices?.[0];
    return choice === undefined || typeof choice.finish_reason === "string";
  } catch {
    return false;
  }
}
