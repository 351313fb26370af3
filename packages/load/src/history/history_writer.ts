import { createWriteStream, type WriteStream } from "node:fs";
import { finished } from "node:stream/promises";
import type { HistoryEvent } from "./events.ts";

/** Writes a history to a file, one event per line. */
export class HistoryWriter {
  readonly #stream: WriteStream;

  private constructor(file: string) {
    this.#stream = createWriteStream(file);
  }

  /** Creates or replaces the file. */
  static create(file: string): HistoryWriter {
    return new HistoryWriter(file);
  }

  /** Appends one event. */
  write(event: HistoryEvent): void {
    this.#stream.write(`${JSON.stringify(event)}\n`);
  }

  /** Closes the file and waits until all events are written. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stream.end();
    await finished(this.#stream);
  }
}
