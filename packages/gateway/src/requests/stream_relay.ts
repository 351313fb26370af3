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
  readonly #splitter = EventSplitter.create();
  /** Whether the current runner's answer has a framed body. */
  #isFramed = false;
  /** Bytes received since the last progress of the stream. */
  #bytesSinceProgress = 0;
  #hasProgressed = false;

  private constructor(answer: CallerAnswer) {
    this.#answer = answer;
  }

  /** Creates a relay to a caller that has received nothing yet. */
  static create(answer: CallerAnswer): StreamRelay {
    return new StreamRelay(answer);
  }

  /** Id of the last whole event that was relayed. */
  get lastEventId(): string | undefined {
    return this.#splitter.lastId;
  }

  /** Creates the sink of one attempt. */
  createSink(accepts: (head: AnswerHead) => boolean): AnswerSink {
    return {
      accepts,
      begin: (head) => this.#begin(head),
      write: (bytes) => this.#write(bytes),
      onceWritable: (handler) => this.#answer.onceWritable(handler),
      end: () => this.#end(),
    };
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

  #begin(head: AnswerHead): void {
    this.#isFramed = head.isFramed;
    // Another runner may have left an incomplete event behind.
    this.#splitter.takePartial();
    if (this.#answer.hasBegun) return;
    this.#answer.begin(head);
  }

  #write(bytes: Buffer): WriteResult {
    const whole = this.#splitter.append(bytes);
    this.#bytesSinceProgress += bytes.length;
    if (whole.length > 0 || this.#bytesSinceProgress >= minProgressBytes) {
      this.#bytesSinceProgress = 0;
      this.#hasProgressed = true;
    }
    if (this.#splitter.partialBytes > maxEventBytes) return "tooLong";
    if (whole.length === 0) return "continue";
    return this.#answer.write(whole) ? "continue" : "pause";
  }

  /**
   * Ends a stream; returns why it cannot count as complete, if so. A stream
   * without framing is complete if its connection ended after a whole event.
   */
  #end(): string | undefined {
    const rest = this.#splitter.takePartial();
    if (rest.length > 0) {
      if (!this.#isFramed) return "the stream ended inside an event";
      this.#answer.write(rest);
    }
    this.#answer.end();
    return undefined;
  }
}

/** Bytes without the end of an event that count as progress of a stream. */
const minProgressBytes = 1024;

/** Limit on the size of an event, which is kept until its end arrives. */
const maxEventBytes = 1024 * 1024;
