import type { RandomSource } from "@jasminetide/core/random";
import type { BlockHash } from "./types.ts";

/** A change of an engine's cache. Sequence numbers increase by one. */
export type CacheEvent = {
  sequence: number;
  type: "stored" | "removed";
  blocks: BlockHash[];
};

/** Delay and loss of cache events. */
export type CacheEventLogOptions = {
  delayMs: number;
  /** Share of events that are lost. */
  loss: number;
  random: RandomSource;
};

/**
 * Number of newest events that are kept. Older ones are dropped once there are
 * twice as many.
 */
const maxKeptEvents = 10_000;

/** Log of cache events that become readable after a delay or are lost. */
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

  /** Sequence number of the last event, lost or not. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Appends an event. A lost event uses up a sequence number too. */
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

  /** Lists the events after a sequence number that are readable. */
  list(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.#events
      .filter((event) =>
        event.sequence > afterSequence && event.readableAtMs <= nowMs
      )
      .map(({ sequence, type, blocks }) => ({ sequence, type, blocks }));
  }
}
