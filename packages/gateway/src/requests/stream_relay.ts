import type { Buffer } from "node:buffer";
import type { AnswerHead } from "../protocol.ts";
import type { AnswerSink, WriteResult } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { EventSplitter } from "./event_splitter.ts";

/**
 * Relays a stream event by event, from one runner or, when a stream is resumed,
 * from several in turn.
 */
export class StreamRelay {
  readonly #answer: CallerAnswer;
  #lastEventId: string | undefined;

  private constructor(answer: CallerAnswer) {
    this.#answer = answer;
  }

  /** Creates a relay to a caller that has received nothing yet. */
  static create(answer: CallerAnswer): StreamRelay {
    return new StreamRelay(answer);
  }

  /** Id of the last whole event that was relayed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Sends a runner's head to the caller, unless one was sent before. */
  begin(head: AnswerHead): void {
    if (!this.#answer.hasBegun) this.#answer.begin(head);
  }

  /** Relays whole events; returns false when the caller must read first. */
  write(events: Buffer, lastEventId: string | undefined): boolean {
    this.#lastEventId = lastEventId ?? this.#lastEventId;
    return this.#answer.write(events);
  }

  /** Calls the handler when the caller has read what was sent. */
  onceWritable(handler: () => void): void {
    this.#answer.onceWritable(handler);
  }

  /** Ends the stream as complete. */
  end(): void {
    this.#answer.end();
  }
}

/** Options of the stream of one attempt. */
export type AttemptStreamOptions = {
  relay: StreamRelay;
  /** Whether the answer is relayed; otherwise it is buffered. */
  accepts: (head: AnswerHead) => boolean;
  /**
   * Called when the stream has begun; returns whether its head is sent to the
   * caller at once. It is held back while another attempt may still go on.
   */
  onBegin: () => boolean;
  /** Called before whole events or the end of the stream are relayed. */
  onEvents: () => void;
};

/**
 * Stream of one attempt. Nothing of it reaches the caller before its first whole
 * event if several attempts are under way.
 */
export class AttemptStream implements AnswerSink {
  readonly #options: AttemptStreamOptions;
  readonly #splitter = EventSplitter.create();
  #head: AnswerHead | undefined;
  /** Bytes received since the last progress of the stream. */
  #bytesSinceProgress = 0;
  #hasProgressed = false;

  private constructor(options: AttemptStreamOptions) {
    this.#options = options;
  }

  /** Creates the stream of an attempt that has received nothing yet. */
  static create(options: AttemptStreamOptions): AttemptStream {
    return new AttemptStream(options);
  }

  /**
   * Checks whether the stream has progressed since the last call: by a whole
   * event, or by a part of a long one. Single bytes from a runner that has
   * stalled are no progress.
   */
  takeProgress(): boolean {
    const hasProgressed = this.#hasProgressed;
    this.#hasProgressed = false;
    return hasProgressed;
  }

  get keptBytes(): number {
    return this.#splitter.partialBytes;
  }

  accepts(head: AnswerHead): boolean {
    return this.#options.accepts(head);
  }

  begin(head: AnswerHead): void {
    this.#head = head;
    if (this.#options.onBegin()) this.#options.relay.begin(head);
  }

  write(bytes: Buffer): WriteResult {
    const whole = this.#splitter.append(bytes);
    this.#bytesSinceProgress += bytes.length;
    if (whole.length > 0 || this.#bytesSinceProgress >= minProgressBytes) {
      this.#bytesSinceProgress = 0;
      this.#hasProgressed = true;
    }
    if (this.#splitter.partialBytes > maxEventBytes) return "tooLong";
    if (whole.length === 0) return "continue";
    return this.#relay(whole) ? "continue" : "pause";
  }

  onceWritable(handler: () => void): void {
    this.#options.relay.onceWritable(handler);
  }

  /**
   * Ends a stream; returns why it cannot count as complete, if so. A stream
   * without framing is complete if its connection ended after a whole event.
   */
  end(): string | undefined {
    const rest = this.#splitter.takePartial();
    if (rest.length > 0 && this.#head?.isFramed === false) {
      return "the stream ended inside an event";
    }
    this.#relay(rest);
    this.#options.relay.end();
    return undefined;
  }

  #relay(events: Buffer): boolean {
    const { onEvents, relay } = this.#options;
    onEvents();
    if (this.#head !== undefined) relay.begin(this.#head);
    return events.length === 0 || relay.write(events, this.#splitter.lastId);
  }
}

/** Bytes without the end of an event that count as progress of a stream. */
const minProgressBytes = 1024;

/** Limit on the size of an event, which is kept until its end arrives. */
const maxEventBytes = 1024 * 1024;
