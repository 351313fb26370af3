import type { Buffer } from "node:buffer";
import type { MemoryBudget, MemoryShare } from "@jasminetide/core/limits";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { waitForReads } from "@jasminetide/runtime/clock";
import { ByteCollector } from "@jasminetide/runtime/streams";
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
  /** The request was not sent, since the runner may get none any more. */
  | { type: "withdrawn" }
  /** The runner states that it has not run the request. */
  | { type: "notRun"; head: AnswerHead; body: Buffer }
  /** The whole answer was received and has not been relayed yet. */
  | { type: "answered"; head: AnswerHead; body: Buffer }
  /** The answer was relayed while it arrived, up to its end. */
  | { type: "relayed" }
  /** The request may have run; its answer is missing or incomplete. */
  | { type: "broken"; reason: string }
  /** This router cancelled the attempt. */
  | { type: "cancelled" };

/** Whether to go on reading an answer after a part of it was relayed. */
export type WriteResult =
  | "continue"
  /** The caller must read before more is relayed. */
  | "pause"
  /** The part cannot be relayed because its end is missing. */
  | "tooLong"
  /** The part does not go on with the stream that was relayed before. */
  | "misplaced";

/** What is done with an answer. */
export type AnswerUse =
  /** It is relayed while it arrives. */
  | "relay"
  /** It is read whole first. */
  | "buffer"
  /** It cannot be used, since it does not go on with what was relayed. */
  | "reject";

/** Receives an answer that is relayed while it arrives. */
export type AnswerSink = {
  /** Chooses what is done with an answer. */
  chooseUse(head: AnswerHead): AnswerUse;
  begin(head: AnswerHead): void;
  /** Bytes that are kept until more arrive. */
  readonly keptBytes: number;
  write(bytes: Buffer): WriteResult;
  /** Calls the handler when reading may continue. */
  onceWritable(handler: () => void): void;
  /**
   * Ends the answer.
   *
   * @returns the reason why it cannot count as complete, if there is one.
   */
  end(): string | undefined;
};

/** Options of an attempt. */
export type AttemptOptions = {
  upstream: Upstream;
  request: RunnerRequest;
  attemptId: string;
  protocol: WireProtocol;
  /** Memory that incomplete answers share. */
  memory: MemoryBudget;
  sink: AnswerSink;
  /** Called just before the request is written. */
  onSent: () => void;
  /**
   * Called with the data read from the headers of each answer on the
   * connection, including those that belong to other requests.
   */
  onAnswerHead: (answer: RunnerAnswer) => void;
  /** Called with the data read from the headers of the request's answer. */
  onAnswer: (answer: RunnerAnswer, head: AnswerHead) => void;
  /** Called before a connection is taken; the attempt waits for the promise. */
  prepareSend: () => Promise<void> | undefined;
  /** Whether the runner may still get the request, just before it is sent. */
  maySend: () => boolean;
  /** Called whenever bytes of the answer arrive. */
  onBytes: () => void;
  /** Called when reading pauses, since the caller must read first. */
  onPause: (isPaused: boolean) => void;
};

/** Sends a request once to one runner and reads the answer. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #ended: Promise<AttemptEnd>;
  #resolve: (end: AttemptEnd) => void = () => {};
  #connection: RunnerConnection | undefined;
  #hasEnded = false;
  #head: AnswerHead | undefined;
  #answer: RunnerAnswer | undefined;
  #isRelayed = false;
  readonly #body = ByteCollector.create();
  readonly #memory: MemoryShare;

  private constructor(options: AttemptOptions) {
    this.#options = options;
    this.#memory = options.memory.hold(() =>
      this.#breakOff("the answers that are incomplete exceed their memory")
    );
    this.#ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Starts an attempt. */
  static create(options: AttemptOptions): Attempt {
    const attempt = new Attempt(options);
    options.upstream.load.ownOutstanding += 1;
    void attempt.#send();
    return attempt;
  }

  /** Resolves with the attempt's end; never rejects. */
  get ended(): Promise<AttemptEnd> {
    return this.#ended;
  }

  /** Cancels the attempt by closing its connection to the runner. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#connection?.destroy();
    this.#end({ type: "cancelled" });
  }

  async #send(): Promise<void> {
    const { prepareSend, upstream: { connections } } = this.#options;
    await prepareSend();
    if (this.#hasEnded) return;
    let connection: RunnerConnection;
    try {
      connection = await this.#getConnection();
    } catch (thrown) {
      this.#end({ type: "unsent", reason: normalizeError(thrown).message });
      return;
    }
    // The caller may have left, which cancels the attempt.
    if (this.#hasEnded) {
      connections.release(connection);
      return;
    }
    if (!this.#options.maySend()) {
      connections.release(connection);
      this.#end({ type: "withdrawn" });
      return;
    }
    this.#connection = connection;
    this.#options.onSent();
    connection.send(this.#options.request, {
      isOwnAnswer: (head) => this.#isOwnAnswer(head),
      onHead: (head) => this.#handleHead(head),
      onBody: (bytes) => this.#handleBody(bytes),
      onComplete: () => this.#complete(),
      onBroken: (reason) => this.#end({ type: "broken", reason }),
    });
  }

  /**
   * Gets a connection once all sockets were read, so that neither the runner's
   * end of the connection nor the caller's leaving lies unread.
   *
   * @throws AppError `runnerUnreachable`.
   */
  async #getConnection(): Promise<RunnerConnection> {
    const { attemptId, upstream: { connections } } = this.#options;
    const idle = connections.takeIdle(attemptId);
    if (idle !== undefined) {
      await waitForReads();
      if (idle.isOpen) return idle;
    }
    const opened = await connections.open();
    await waitForReads();
    if (opened.isOpen) return opened;
    throw AppError.create(
      "runnerUnreachable",
      "The runner closed the connection before the request was sent",
    );
  }

  #isOwnAnswer(head: AnswerHead): boolean {
    this.#answer = this.#options.protocol.readRunnerAnswer(head);
    this.#options.onAnswerHead(this.#answer);
    const { attemptId, isNotRun } = this.#answer;
    if (attemptId !== undefined) return attemptId === this.#options.attemptId;
    // Without an id, it may be the answer to an earlier request, and only a
    // refusal that names the request is a promise that it has not run.
    return this.#connection?.isFirstRequest === true && !isNotRun;
  }

  #handleHead(head: AnswerHead): void {
    const answer = this.#answer;
    this.#head = head;
    this.#options.onBytes();
    if (answer === undefined) return;
    this.#options.onAnswer(answer, head);
    if (head.status < 300 && !answer.isGenuine) {
      this.#breakOff("the answer lacks the runner's mark");
      return;
    }
    if (!answer.isNotRun) this.#use(head);
  }

  #use(head: AnswerHead): void {
    const { sink } = this.#options;
    switch (sink.chooseUse(head)) {
      case "buffer":
        return;
      case "reject":
        this.#breakOff("the answer does not go on with the stream");
        return;
      case "relay":
        this.#isRelayed = true;
        sink.begin(head);
    }
  }

  #handleBody(bytes: Buffer): void {
    if (this.#isRelayed) this.#relay(bytes);
    else this.#buffer(bytes);
    if (this.#hasEnded) return;
    this.#memory.set(this.#options.sink.keptBytes + this.#body.sizeBytes);
    if (!this.#hasEnded) this.#options.onBytes();
  }

  #relay(bytes: Buffer): void {
    switch (this.#options.sink.write(bytes)) {
      case "continue":
        return;
      case "pause":
        this.#setPaused(true);
        this.#options.sink.onceWritable(() => this.#setPaused(false));
        return;
      case "tooLong":
        this.#breakOff("an event of the answer has no end");
        return;
      case "misplaced":
        this.#breakOff("the events do not go on with the stream");
    }
  }

  #setPaused(isPaused: boolean): void {
    // The connection may carry another request by the time the caller has read.
    if (this.#hasEnded) return;
    this.#connection?.setPaused(isPaused);
    this.#options.onPause(isPaused);
  }

  #buffer(bytes: Buffer): void {
    this.#body.append(bytes);
    if (this.#body.sizeBytes <= maxBufferedBytes) return;
    this.#breakOff(`the answer exceeds ${maxBufferedBytes} bytes`);
  }

  #complete(): void {
    const connection = this.#connection;
    if (connection === undefined || this.#head === undefined) return;
    this.#options.upstream.connections.release(connection);
    if (this.#isRelayed) {
      const reason = this.#options.sink.end();
      this.#end(
        reason === undefined ? { type: "relayed" } : { type: "broken", reason },
      );
      return;
    }
    const type = this.#answer?.isNotRun === true ? "notRun" : "answered";
    this.#end({ type, head: this.#head, body: this.#body.take() });
  }

  #breakOff(reason: string): void {
    this.#connection?.destroy();
    this.#end({ type: "broken", reason });
  }

  #end(end: AttemptEnd): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#body.clear();
    this.#memory[Symbol.dispose]();
    this.#options.upstream.load.ownOutstanding -= 1;
    this.#resolve(end);
  }
}

/** Limit on the size of an answer that is read whole before it is sent on. */
const maxBufferedBytes = 4 * 1024 * 1024;
