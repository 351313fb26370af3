import type { AnswerHead } from "../protocol.ts";
import type { AnswerSink } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { EventSplitter } from "./event_splitter.ts";

/**
 * Relays a stream event by event, from one runner or, when a stream is resumed,
 * from several in turn.
 */
export class StreamRelay {
  readonly #answer: CallerAnswer;
  readonly #splitter = EventSplitter.create();
  /** Whether the headers sent to the caller frame the body. */
  #hasBegunFramed = false;
  /** Whether the current runner's answer has a framed body. */
  #isFramed = false;

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
      write: (bytes) => {
        const whole = this.#splitter.append(bytes);
        return whole.length === 0 || this.#answer.write(whole);
      },
      onceWritable: (handler) => this.#answer.onceWritable(handler),
      end: () => this.#end(),
    };
  }

  /** Drops the incomplete event that a runner has left behind. */
  dropPartial(): void {
    this.#splitter.takePartial();
  }

  #begin(head: AnswerHead): void {
    this.#isFramed = head.isFramed;
    if (this.#answer.hasBegun) return;
    this.#hasBegunFramed = head.isFramed;
    this.#answer.begin(head);
  }

  /** Ends a stream; returns why it cannot count as complete, if so. */
  #end(): string | undefined {
    if (this.#hasBegunFramed && !this.#isFramed) {
      return "the resumed answer has no length, so its end is unknown";
    }
    const rest = this.#splitter.takePartial();
    if (rest.length > 0) this.#answer.write(rest);
    this.#answer.end();
    return undefined;
  }
}
