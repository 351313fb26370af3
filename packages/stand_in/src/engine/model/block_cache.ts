import { AppError, assertInvariant } from "@jasminetide/core/results";
import type { BlockHash } from "./types.ts";

/** Called with blocks that were added to or evicted from the cache. */
export type BlockCacheListener = (
  type: "stored" | "removed",
  blocks: readonly BlockHash[],
) => void;

/** Capacity and listener of a block cache. */
export type BlockCacheOptions = {
  capacityBlocks: number;
  listener: BlockCacheListener;
};

/**
 * KV blocks in limited memory. Blocks in use are pinned; the others are evicted
 * least recently used first, and within a prefix from the end.
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

  /** Number of blocks pinned, cached or reserved. */
  get usedBlocks(): number {
    return this.#pins.size + this.#idle.size + this.#reserved;
  }

  has(block: BlockHash): boolean {
    return this.#pins.has(block) || this.#idle.has(block);
  }

  /** Lists all pinned and cached blocks. */
  list(): BlockHash[] {
    return [...this.#idle, ...this.#pins.keys()];
  }

  /** Gets the longest cached prefix of a chain of blocks. */
  getCachedPrefix(blocks: readonly BlockHash[]): BlockHash[] {
    const missing = blocks.findIndex((block) => !this.has(block));
    return missing < 0 ? [...blocks] : blocks.slice(0, missing);
  }

  /**
   * Pins a cached prefix and reserves memory for new blocks.
   *
   * @returns false, with no effect, if too much memory is pinned or reserved.
   */
  reserve(prefix: readonly BlockHash[], newBlocks: number): boolean {
    const idle = prefix.filter((block) => this.#idle.has(block)).length;
    const pinned = this.#pins.size + this.#reserved + idle;
    if (pinned + newBlocks > this.#options.capacityBlocks) return false;
    for (const block of prefix) this.#pin(block);
    this.#evict(newBlocks);
    this.#reserved += newBlocks;
    this.#assertCapacity();
    return true;
  }

  /** Stores and pins blocks in reserved memory. */
  store(blocks: readonly BlockHash[]): void {
    const added = blocks.filter((block) => !this.has(block));
    if (blocks.length > this.#reserved) {
      throw AppError.create(
        "invariantViolated",
        `Cannot store ${blocks.length} blocks, ${this.#reserved} are reserved`,
      );
    }
    this.#reserved -= blocks.length;
    for (const block of blocks) this.#pin(block);
    if (added.length > 0) this.#options.listener("stored", added);
    this.#assertCapacity();
  }

  /** Unpins blocks and frees reserved memory that was not used. */
  release(blocks: readonly BlockHash[], reservedBlocks: number): void {
    this.#reserved -= reservedBlocks;
    for (const block of blocks.toReversed()) this.#unpin(block);
    this.#assertCapacity();
  }

  /**
   * Adds blocks from another engine, unpinned, up to the free memory.
   *
   * @returns the blocks that were added.
   */
  insert(blocks: readonly BlockHash[]): BlockHash[] {
    const prefix = this.getCachedPrefix(blocks);
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

  #evict(requiredBlocks: number): void {
    const removed: BlockHash[] = [];
    const excess = this.usedBlocks + requiredBlocks -
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
