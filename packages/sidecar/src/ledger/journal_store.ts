import {
  decodeHead,
  decodeSegment,
  encodeHead,
  encodeSegment,
  formatHeadObject,
  formatSegmentObject,
  type JournalHead,
  type JournalSegment,
  type ShardEvent,
} from "@jasminetide/core/ledger";
import type {
  ObjectName,
  PlatformClient,
  WriteCondition,
} from "@jasminetide/runtime/platform";

/** Where the journals of a service stand. */
export type JournalStoreOptions = {
  service: string;
  platform: PlatformClient;
};

/** After this time the answer to a journal write is taken for lost. */
const writeTimeoutMs = 500;

/** Reads and writes the journals of one service. */
export class JournalStore {
  readonly #options: JournalStoreOptions;

  private constructor(options: JournalStoreOptions) {
    this.#options = options;
  }

  /** Creates a store; nothing is read yet. */
  static create(options: JournalStoreOptions): JournalStore {
    return new JournalStore(options);
  }

  /** Reads the head of a shard. */
  async readHead(shard: number): Promise<ShardEvent> {
    try {
      const stored = await this.#options.platform.get(this.#getHead(shard));
      if (stored === undefined) {
        return { type: "head-read", version: 0, head: undefined };
      }
      const { version, value } = stored;
      return { type: "head-read", version, head: decodeHead(value) };
    } catch {
      return { type: "head-read-failed" };
    }
  }

  /** Writes the head of a shard if it is still the expected version. */
  async writeHead(
    shard: number,
    write: { head: JournalHead; expected: number },
  ): Promise<ShardEvent> {
    const result = await this.#options.platform.putMoney(this.#getHead(shard), {
      value: encodeHead(write.head),
      condition: createCondition(write.expected),
      timeoutMs: writeTimeoutMs,
    });
    switch (result.type) {
      case "written":
        return { type: "head-written", version: result.version };
      case "conflict":
        return { type: "head-conflict", version: result.version };
      case "lost":
        return { type: "head-write-lost" };
    }
  }

  /** Reads segments, each in the version that the head names. */
  async readSegments(
    shard: number,
    slots: { slot: number; version: number }[],
  ): Promise<ShardEvent> {
    try {
      const segments = await Promise.all(
        slots.map((wanted) => this.#readSegment(shard, wanted)),
      );
      const whole = segments.filter((segment) => segment !== undefined);
      if (whole.length < slots.length) return { type: "segments-read-failed" };
      return { type: "segments-read", segments: whole };
    } catch {
      return { type: "segments-read-failed" };
    }
  }

  /** Writes a segment if it is still the expected version. */
  async writeSegment(
    shard: number,
    write: { slot: number; expected: number; segment: JournalSegment },
  ): Promise<ShardEvent> {
    const { slot, expected, segment } = write;
    const result = await this.#options.platform.putMoney(
      this.#getSegment(shard, slot),
      {
        value: encodeSegment(segment),
        condition: createCondition(expected),
        timeoutMs: writeTimeoutMs,
      },
    );
    switch (result.type) {
      case "written":
        return { type: "segment-written", slot, version: result.version };
      case "conflict":
        return { type: "segment-conflict", slot, version: result.version };
      case "lost":
        return { type: "segment-write-lost", slot };
    }
  }

  async #readSegment(
    shard: number,
    wanted: { slot: number; version: number },
  ): Promise<JournalSegment | undefined> {
    const stored = await this.#options.platform.get(
      this.#getSegment(shard, wanted.slot),
    );
    if (stored?.version !== wanted.version) return undefined;
    return decodeSegment(stored.value);
  }

  #getHead(shard: number): ObjectName {
    return formatHeadObject(this.#options.service, shard);
  }

  #getSegment(shard: number, slot: number): ObjectName {
    return formatSegmentObject({ service: this.#options.service, shard, slot });
  }
}

function createCondition(expected: number): WriteCondition {
  return expected === 0 ? "absent" : { version: expected };
}
