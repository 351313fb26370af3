import { Buffer } from "node:buffer";
import { normalizeError } from "@jasminetide/core/results";
import type { AnswerHead, RunnerAnswer, WireProtocol } from "../protocol.ts";
import type {
  RunnerConnection,
  RunnerRequest,
  Upstream,
} from "../upstreams/mod.ts";

/** How an attempt at a runner ended. */
export type AttemptEnd =
  /** No connection could be opened, so the request was not sent. */
  | { type: "unsent"; reason: string }
  /** The runner promises that it has not run the request. */
  | { type: "notRun"; head: AnswerHead; body: Buffer }
  /** The whole answer, not passed on yet. */
  | { type: "answered"; head: AnswerHead; body: Buffer }
  /** The answer was passed on as it came, to its end. */
  | { type: "relayed" }
  /** The request may have run; the answer is missing or was cut short. */
  | { type: "broken"; reason: string }
  /** This router gave the attempt up. */
  | { type: "cancelled" };

/** Takes an answer that is passed on as it comes. */
export type AnswerSink = {
  /** Whether this answer is passed on as it comes. */
  accepts: (head: AnswerHead) => boolean;
  begin: (head: AnswerHead) => void;
  /** @returns false when the runner should be read no further for now. */
  write: (bytes: Buffer) => boolean;
  onceWritable: (handler: () => void) => void;
  /** @returns what is wrong with an answer that seems complete, if anything. */
  end: () => string | undefined;
};

/** What an attempt needs. */
export type AttemptOptions = {
  upstream: Upstream;
  request: RunnerRequest;
  attemptId: string;
  protocol: WireProtocol;
  sink: AnswerSink;
  /** Called when the first bytes leave. */
  onSent: () => void;
  /** Called with what an answer's headers say. */
  onAnswer: (answer: RunnerAnswer) => void;
  /** Called whenever bytes of the answer come. */
  onHeard: () => void;
};

/** One send of a request to one runner. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #ended: Promise<AttemptEnd>;
  #resolve: (end: AttemptEnd) => void = () => {};
  #connection: RunnerConnection | undefined;
  #isOver = false;
  #head: AnswerHead | undefined;
  #answer: RunnerAnswer | undefined;
  #isRelayed = false;
  #body: Buffer[] = [];

  private constructor(options: AttemptOptions) {
    this.#options = options;
    this.#ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Begins an attempt. */
  static create(options: AttemptOptions): Attempt {
    const attempt = new Attempt(options);
    options.upstream.load.ownOutstanding += 1;
    void attempt.#send();
    return attempt;
  }

  /** How it ends; never rejects. */
  get ended(): Promise<AttemptEnd> {
    return this.#ended;
  }

  /** Withdraws it; the runner sees its connection close. */
  cancel(): void {
    if (this.#isOver) return;
    this.#connection?.destroy();
    this.#end({ type: "cancelled" });
  }

  /** Gives the runner up, as if the connection had broken. */
  giveUp(reason: string): void {
    if (!this.#isOver) this.#breakOff(reason);
  }

  async #send(): Promise<void> {
    const { connections } = this.#options.upstream;
    let connection = connections.takeIdle();
    if (connection === undefined) {
      try {
        connection = await connections.open();
      } catch (thrown) {
        this.#end({ type: "unsent", reason: normalizeError(thrown).message });
        return;
      }
    }
    if (this.#isOver) {
      connections.release(connection);
      return;
    }
    this.#connection = connection;
    this.#options.onSent();
    connection.send(this.#options.request, {
      isOwnAnswer: (head) => this.#isOwn(head),
      onHead: (head) => this.#takeHead(head),
      onBody: (bytes) => this.#takeBody(bytes),
      onComplete: () => this.#complete(),
      onBroken: (reason) => this.#end({ type: "broken", reason }),
    });
  }

  #isOwn(head: AnswerHead): boolean {
    this.#answer = this.#options.protocol.readRunnerAnswer(head);
    const { attemptId } = this.#answer;
    return attemptId === undefined || attemptId === this.#options.attemptId;
  }

  #takeHead(head: AnswerHead): void {
    const answer = this.#answer;
    this.#head = head;
    this.#options.onHeard();
    if (answer === undefined) return;
    this.#options.onAnswer(answer);
    if (head.status < 300 && !answer.isGenuine) {
      this.#breakOff("answer without the runner's mark");
      return;
    }
    if (answer.isNotRun || !this.#options.sink.accepts(head)) return;
    this.#isRelayed = true;
    this.#options.sink.begin(head);
  }

  #takeBody(bytes: Buffer): void {
    this.#options.onHeard();
    if (!this.#isRelayed) {
      this.#body.push(bytes);
      return;
    }
    if (this.#options.sink.write(bytes)) return;
    this.#connection?.setPaused(true);
    this.#options.sink.onceWritable(() => this.#connection?.setPaused(false));
  }

  #complete(): void {
    const connection = this.#connection;
    if (connection === undefined || this.#head === undefined) return;
    this.#options.upstream.connections.release(connection);
    if (this.#isRelayed) {
      const fault = this.#options.sink.end();
      this.#end(
        fault === undefined
          ? { type: "relayed" }
          : { type: "broken", reason: fault },
      );
      return;
    }
    const type = this.#answer?.isNotRun === true ? "notRun" : "answered";
    this.#end({ type, head: this.#head, body: Buffer.concat(this.#body) });
  }

  #breakOff(reason: string): void {
    this.#connection?.destroy();
    this.#end({ type: "broken", reason });
  }

  #end(end: AttemptEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#options.upstream.load.ownOutstanding -= 1;
    this.#resolve(end);
  }
}
