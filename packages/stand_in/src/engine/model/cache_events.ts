import type { RandomSource } from "@jasminetide/core/random";
import type { BlockHash } from "./types.ts";

/** A change of an engine's cache. Sequence numbers rise by one. */
export type CacheEvent = {
  sequence: number;
  type: "stored" | "removed";
  blocks: BlockHash[];
};

/** How late and how complete the events are. */
export type CacheEventLogOptions = {
  delayMs: number;
  /** Share of events that are lost. */
  loss: number;
  random: RandomSource;
};

/** Events beyond this number are dropped, oldest first. */
const maxKeptEvents = 10_000;

/** Cache events that become readable late and of which some are lost. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #sequence = 0;
  #events: (CacheEvent & { readableAtMs: number })[] = [];

  private constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** Creates an empty log. */
  static create(options: CacheEventLogOptions): CacheEventLog {
    return new CacheEventLog(options);
  }

  /** Number of the last event, lost or not. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Appends an event; it may be lost, its number is used all the same. */
  append(
    event: { type: CacheEvent["type"]; blocks: readonly BlockHash[] },
    nowMs: number,
  ): void {
    this.#sequence += 1;
    const { loss, random, delayMs } = this.#options;
    if (loss > 0 && random.getFloat() < loss) return;
    this.#events.push({
      sequence: this.#sequence,
      type: event.type,
      blocks: [...event.blocks],
      readableAtMs: nowMs + delayMs,
    });
    if (this.#events.length > 2 * maxKeptEvents) {
      this.#events = this.#events.slice(-maxKeptEvents);
    }
  }

  /** Lists the readable events after a sequence number. */
  list(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events
      .filter((event) =>
        event.sequence > afterSequence && event.readableAtMs <= nowMs
      )
      .map(({ sequence, type, blocks }) => ({ sequence, type, blocks }));
  }
}
