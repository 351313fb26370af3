import { Buffer } from "node:buffer";
import { AppError } from "@jasminetide/core/results";

/** Status and headers of a runner's answer. */
export type AnswerHead = {
  status: number;
  headers: { [name: string]: string | string[] };
};

/** Progress of an answer; a failed one is incomplete. */
export type AnswerState = "open" | "complete" | "failed";

/** Unread bytes above which reading from the runner is paused. */
const maxUnreadBytes = 1_048_576;

/**
 * Buffers an answer of the runner, so that a reader whose connection was lost can
 * resume at the byte after the last one it received.
 */
export class AnswerBuffer {
  readonly #chunks: Buffer[] = [];
  #sizeBytes = 0;
  #readBytes = 0;
  #head: AnswerHead | undefined;
  #state: AnswerState = "open";
  #error: AppError | undefined;
  #waiters = new Set<() => void>();

  private constructor() {}

  /** Creates an empty buffer. */
  static create(): AnswerBuffer {
    return new AnswerBuffer();
  }

  get state(): AnswerState {
    return this.#state;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Reason of a failed answer. */
  get error(): AppError | undefined {
    return this.#error;
  }

  /** Sets status and headers; called once. */
  begin(head: AnswerHead): void {
    this.#head = head;
    this.#notify();
  }

  /** Appends bytes and waits while too many are unread (backpressure). */
  async append(chunk: Buffer): Promise<void> {
    this.#chunks.push(chunk);
    this.#sizeBytes += chunk.length;
    this.#notify();
    while (
      this.#state === "open" &&
      this.#sizeBytes - this.#readBytes > maxUnreadBytes
    ) await this.#wait();
  }

  /** Marks the answer as complete. */
  complete(): void {
    if (this.#state !== "open") return;
    this.#state = "complete";
    this.#notify();
  }

  /** Marks the answer as failed. */
  fail(error: AppError): void {
    if (this.#state !== "open") return;
    this.#state = "failed";
    this.#error = error;
    this.#notify();
  }

  /**
   * Waits for status and headers.
   *
   * @throws AppError if the answer failed before they arrived.
   */
  async getHead(): Promise<AnswerHead> {
    while (this.#head === undefined) {
      if (this.#error !== undefined) throw this.#error;
      await this.#wait();
    }
    return this.#head;
  }

  /** Reads from a byte offset until the answer is complete or has failed. */
  async *read(offsetBytes: number): AsyncGenerator<Buffer> {
    let index = 0;
    let positionBytes = 0;
    while (true) {
      while (index < this.#chunks.length) {
        const chunk = this.#chunks[index];
        index += 1;
        const skipBytes = Math.max(0, offsetBytes - positionBytes);
        positionBytes += chunk.length;
        if (skipBytes < chunk.length) yield chunk.subarray(skipBytes);
        this.#acknowledge(positionBytes);
      }
      if (this.#state !== "open") return;
      await this.#wait();
    }
  }

  #acknowledge(readBytes: number): void {
    if (readBytes <= this.#readBytes) return;
    this.#readBytes = readBytes;
    this.#notify();
  }

  #wait(): Promise<void> {
    return new Promise((resolve) => this.#waiters.add(resolve));
  }

  #notify(): void {
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const resolve of waiters) resolve();
  }
}
