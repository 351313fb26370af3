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
import { decodePosition, encodePosition } from "@jasminetide/core/store";
import type {
  ObjectName,
  PlatformClient,
  WriteCondition,
} from "@jasminetide/runtime/platform";

/** Service whose journals are stored, and the platform that stores them. */
export type JournalStoreOptions = {
  service: string;
  platform: PlatformClient;
};

/** Time after which the answer to a journal write is treated as lost. */
const writeTimeoutMs = 500;

/** Reads and writes the journals of one service. */
export class JournalStore {
  readonly #options: JournalStoreOptions;

  private constructor(options: JournalStoreOptions) {
    this.#options = options;
  }

  /** Creates a store without reading any journal. */
  static create(options: JournalStoreOptions): JournalStore {
    return new JournalStore(options);
  }

  /** Reads the head of a shard. */
  async readHead(shard: number): Promise<ShardEvent> {
    try {
      const stored = await this.#options.platform.get(this.#getHeadName(shard));
      if (stored === undefined) {
        // An absent head is of an epoch too: a restore may have lost it.
        const version = encodePosition({
          epoch: this.#options.platform.epoch,
          revision: 0,
        });
        return { type: "head-read", version, head: undefined };
      }
      const { position, value } = stored;
      const version = encodePosition(position);
      return { type: "head-read", version, head: decodeHead(value) };
    } catch {
      return { type: "head-read-failed" };
    }
  }

  /** Writes the head of a shard if its stored version is the expected one. */
  async writeHead(
    shard: number,
    write: { head: JournalHead; expected: number },
  ): Promise<ShardEvent> {
    const result = await this.#options.platform.putMoney(
      this.#getHeadName(shard),
      {
        value: encodeHead(write.head),
        condition: createCondition(write.expected),
        timeoutMs: writeTimeoutMs,
      },
    );
    switch (result.type) {
      case "written":
        return {
          type: "head-written",
          version: encodePosition(result.position),
        };
      case "conflict":
        return {
          type: "head-conflict",
          version: encodePosition(result.position),
        };
      case "lost":
        return { type: "head-write-lost" };
    }
  }

  /** Reads segments; fails if one is not in the version given for it. */
  async readSegments(
    shard: number,
    slots: { slot: number; version: number }[],
  ): Promise<ShardEvent> {
    try {
      const segments = await Promise.all(
        slots.map((wanted) => this.#readSegment(shard, wanted)),
      );
      const found = segments.filter((segment) => segment !== undefined);
      if (found.length < slots.length) return { type: "segments-read-failed" };
      return { type: "segments-read", segments: found };
    } catch {
      return { type: "segments-read-failed" };
    }
  }

  /** Writes a segment if its stored version is the expected one. */
  async writeSegment(
    shard: number,
    write: { slot: number; expected: number; segment: JournalSegment },
  ): Promise<ShardEvent> {
    const { slot, expected, segment } = write;
    const result = await this.#options.platform.putMoney(
      this.#getSegmentName(shard, slot),
      {
        value: encodeSegment(segment),
        condition: createCondition(expected),
        timeoutMs: writeTimeoutMs,
      },
    );
    switch (result.type) {
      case "written":
        return {
          type: "segment-written",
          slot,
          version: encodePosition(result.position),
        };
      case "conflict":
        return {
          type: "segment-conflict",
          slot,
          version: encodePosition(result.position),
        };
      case "lost":
        return { type: "segment-write-lost", slot };
    }
  }

  async #readSegment(
    shard: number,
    wanted: { slot: number; version: number },
  ): Promise<JournalSegment | undefined> {
    const stored = await this.#options.platform.get(
      this.#getSegmentName(shard, wanted.slot),
    );
    // A restored store keeps the revisions of what it has not lost.
    const { revision } = decodePosition(wanted.version);
    if (stored?.position.revision !== revision) return undefined;
    return decodeSegment(stored.value);
  }

  #getHeadName(shard: number): ObjectName {
    return formatHeadObject(this.#options.service, shard);
  }

  #getSegmentName(shard: number, slot: number): ObjectName {
    return formatSegmentObject({ service: this.#options.service, shard, slot });
  }
}

function createCondition(expected: number): WriteCondition {
  const position = decodePosition(expected);
  return position.revision === 0 ? "absent" : { position };
}
