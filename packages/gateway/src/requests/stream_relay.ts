import type { Buffer } from "node:buffer";
import type { AnswerHead } from "../protocol.ts";
import type { AnswerSink, AnswerUse, WriteResult } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import {
  checkContinuation,
  hasEvent,
  type StreamPosition,
} from "./check_continuation.ts";
import { EventSplitter } from "./event_splitter.ts";

/**
 * Relays a stream event by event, from one runner or, when a stream is resumed,
 * from several in turn.
 */
export class StreamRelay {
  readonly #answer: CallerAnswer;
  /** Last event that the caller had before, if it takes a stream up. */
  readonly #takenUpId: string | undefined;
  #lastEventId: string | undefined;
  #hasEvents = false;

  private constructor(answer: CallerAnswer, takenUpId: string | undefined) {
    this.#answer = answer;
    this.#takenUpId = takenUpId;
  }

  /**
   * Creates a relay to a caller that has received nothing yet.
   *
   * @param takenUpId id of the event after which the caller takes the stream up.
   */
  static create(
    answer: CallerAnswer,
    takenUpId: string | undefined,
  ): StreamRelay {
    return new StreamRelay(answer, takenUpId);
  }

  /** Whether the caller has been sent a status. */
  get hasBegun(): boolean {
    return this.#answer.hasBegun;
  }

  /** Whether a runner can be told where to go on. */
  get canGoOn(): boolean {
    return !this.#hasEvents || this.#lastEventId !== undefined;
  }

  /** Where the next events have to go on; undefined if they may be any. */
  get position(): StreamPosition | undefined {
    const lastEventId = this.#lastEventId ?? this.#takenUpId;
    if (lastEventId === undefined) return undefined;
    return { lastEventId, isSameAnswer: this.#hasEvents };
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
    this.#hasEvents ||= lastEventId !== undefined || hasEvent(events);
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
  /** Whether answers to the request are streams. */
  isStream: boolean;
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
  /** Whether its first event goes on where it should. */
  #isInOrder = false;
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

  chooseUse(head: AnswerHead): AnswerUse {
    const { isStream, relay } = this.#options;
    if (!isStream || head.status >= 300) return "buffer";
    if (isEventStream(head)) return "relay";
    return relay.hasBegun ? "reject" : "buffer";
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
    if (!this.#checkOrder(whole)) return "misplaced";
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
    if (!this.#checkOrder(rest)) return "the last event does not go on";
    if (this.#isAwaited) return "no event goes on with the stream";
    this.#relay(rest);
    this.#options.relay.end();
    return undefined;
  }

  /** Whether an event has to follow those that were relayed before. */
  get #isAwaited(): boolean {
    const { position } = this.#options.relay;
    return !this.#isInOrder && position?.isSameAnswer === true;
  }

  /** Checks, up to its first event, whether the stream goes on where it should. */
  #checkOrder(events: Buffer): boolean {
    if (this.#isInOrder) return true;
    const { position } = this.#options.relay;
    const order = position === undefined
      ? "follows"
      : checkContinuation(events, position);
    this.#isInOrder = order === "follows";
    return order !== "misplaced";
  }

  #relay(events: Buffer): boolean {
    const { onEvents, relay } = this.#options;
    onEvents();
    if (this.#head !== undefined) relay.begin(this.#head);
    return events.length === 0 || relay.write(events, this.#splitter.lastId);
  }
}

/**
 * Whether an answer is a stream of events that can be read. Runners may leave out
 * the type of the content.
 */
function isEventStream({ rawHeaders, status }: AnswerHead): boolean {
  if (status !== 200) return false;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    const value = rawHeaders[index + 1].toLowerCase();
    if (name === "content-type" && !eventStreamType.test(value)) return false;
    if (name === "content-encoding" && value !== "identity") return false;
  }
  return true;
}

const eventStreamType = /^text\/event-stream\s*(;|$)/;

/** Bytes without the end of an event that count as progress of a stream. */
const minProgressBytes = 1024;

/** Limit on the size of an event, which is kept until its end arrives. */
const maxEventBytes = 1024 * 1024;
