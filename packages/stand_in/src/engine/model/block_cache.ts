import { AppError, assertInvariant } from "@jasminetide/core/results";
import type { BlockHash } from "./types.ts";

/** Called with blocks that came into or went out of the cache. */
export type BlockCacheListener = (
  type: "stored" | "removed",
  blocks: readonly BlockHash[],
) => void;

/** Size and observer of a block cache. */
export type BlockCacheOptions = {
  capacityBlocks: number;
  listener: BlockCacheListener;
};

/**
 * KV blocks in limited memory: blocks in use are pinned, the others are
 * evicted least recently used first, a prefix from its end.
 */
export class BlockCache {
  readonly #options: BlockCacheOptions;
  readonly #pins = new Map<BlockHash, number>();
  /** Unpinned blocks, least recently used first. */
  readonly #idle = new Set<BlockHash>();
  #reserved = 0;

  private constructor(options: BlockCacheOptions) {
    this.#options = options;
  }

  /** Creates an empty cache. */
  static create(options: BlockCacheOptions): BlockCache {
    return new BlockCache(options);
  }

  /** Blocks in use or cached. */
  get usedBlocks(): number {
    return this.#pins.size + this.#idle.size + this.#reserved;
  }

  has(block: BlockHash): boolean {
    return this.#pins.has(block) || this.#idle.has(block);
  }

  /** Lists all blocks with content. */
  list(): BlockHash[] {
    return [...this.#idle, ...this.#pins.keys()];
  }

  /** Gets the longest held prefix of a chain of blocks. */
  getPrefix(blocks: readonly BlockHash[]): BlockHash[] {
    const missing = blocks.findIndex((block) => !this.has(block));
    return missing < 0 ? [...blocks] : blocks.slice(0, missing);
  }

  /**
   * Pins the held prefix and reserves memory for the rest of a sequence.
   *
   * @returns false, with no effect, when pinned blocks leave no room.
   */
  reserve(prefix: readonly BlockHash[], freshBlocks: number): boolean {
    const idle = prefix.filter((block) => this.#idle.has(block)).length;
    const pinned = this.#pins.size + this.#reserved + idle;
    if (pinned + freshBlocks > this.#options.capacityBlocks) return false;
    for (const block of prefix) this.#pin(block);
    this.#evict(freshBlocks);
    this.#reserved += freshBlocks;
    this.#assertCapacity();
    return true;
  }

  /** Gives content to reserved blocks, which become pinned. */
  store(blocks: readonly BlockHash[]): void {
    const added = blocks.filter((block) => !this.has(block));
    if (blocks.length > this.#reserved) {
      throw AppError.create(
        "invariantViolated",
        `${blocks.length} blocks stored of ${this.#reserved} reserved`,
      );
    }
    this.#reserved -= blocks.length;
    for (const block of blocks) this.#pin(block);
    if (added.length > 0) this.#options.listener("stored", added);
    this.#assertCapacity();
  }

  /** Unpins blocks and gives back memory reserved but not stored. */
  release(blocks: readonly BlockHash[], reservedBlocks: number): void {
    this.#reserved -= reservedBlocks;
    for (const block of blocks.toReversed()) this.#unpin(block);
    this.#assertCapacity();
  }

  /** Takes in blocks from another engine, as far as there is room. */
  insert(blocks: readonly BlockHash[]): BlockHash[] {
    const prefix = this.getPrefix(blocks);
    const free = this.#options.capacityBlocks - this.#pins.size -
      this.#reserved;
    const added = blocks.slice(prefix.length, Math.max(prefix.length, free))
      .filter((block) => !this.has(block));
    for (const block of prefix) this.#pin(block);
    this.#evict(added.length);
    for (const block of prefix.toReversed()) this.#unpin(block);
    for (const block of added.toReversed()) this.#idle.add(block);
    if (added.length > 0) this.#options.listener("stored", added);
    this.#assertCapacity();
    return added;
  }

  #pin(block: BlockHash): void {
    this.#idle.delete(block);
    this.#pins.set(block, (this.#pins.get(block) ?? 0) + 1);
  }

  #unpin(block: BlockHash): void {
    const pins = this.#pins.get(block) ?? 0;
    if (pins > 1) {
      this.#pins.set(block, pins - 1);
      return;
    }
    this.#pins.delete(block);
    this.#idle.add(block);
  }

  #evict(neededBlocks: number): void {
    const removed: BlockHash[] = [];
    const excess = this.usedBlocks + neededBlocks -
      this.#options.capacityBlocks;
    for (const block of this.#idle) {
      if (removed.length >= excess) break;
      removed.push(block);
    }
    for (const block of removed) this.#idle.delete(block);
    if (removed.length > 0) this.#options.listener("removed", removed);
  }

  #assertCapacity(): void {
    assertInvariant(
      this.#reserved >= 0 && this.usedBlocks <= this.#options.capacityBlocks,
      "block-cache-capacity",
      () => `${this.usedBlocks} of ${this.#options.capacityBlocks} blocks`,
    );
  }
}
