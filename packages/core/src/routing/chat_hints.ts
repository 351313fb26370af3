import { LRUCache } from "lru-cache";
import type { RunnerId } from "../tables/mod.ts";

/** Where the cache of a chat is held. */
export type ChatHint = { runner: RunnerId; tokens: number };

/**
 * Chooses the hint that is later. Chats only grow, so that it is the one with
 * the longer prefix.
 */
export function chooseLongerHint(
  left: ChatHint | undefined,
  right: ChatHint | undefined,
): ChatHint | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return right.tokens > left.tokens ? right : left;
}

/** Bounds of the hints that one sidecar keeps. */
export type ChatHintOptions = {
  maximumHints: number;
  /** Time after which a hint is forgotten, in milliseconds. */
  retentionMs: number;
  getNowMs: () => number;
};

type Entry = ChatHint & { expiresAtMs: number };

/**
 * What the sidecar of a chat's home knows of chats held elsewhere. The least
 * recently used are forgotten first; a forgotten hint costs a recompute.
 */
export class ChatHints {
  readonly #options: ChatHintOptions;
  readonly #entries: LRUCache<bigint, Entry>;

  private constructor(options: ChatHintOptions) {
    this.#options = options;
    this.#entries = new LRUCache({ max: options.maximumHints });
  }

  /** Creates an empty table of hints. */
  static create(options: ChatHintOptions): ChatHints {
    return new ChatHints(options);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Finds where a chat is held. */
  find(key: bigint): ChatHint | undefined {
    const entry = this.#entries.get(key);
    if (entry === undefined) return undefined;
    if (entry.expiresAtMs > this.#options.getNowMs()) return entry;
    this.#entries.delete(key);
    return undefined;
  }

  /** Records that a chat is now held by another runner. */
  record(key: bigint, hint: ChatHint): void {
    const expiresAtMs = this.#options.getNowMs() + this.#options.retentionMs;
    this.#entries.set(key, { ...hint, expiresAtMs });
  }

  /** Records a hint unless a later one is known. */
  offer(key: bigint, hint: ChatHint): void {
    const known = this.find(key);
    if (chooseLongerHint(known, hint) === hint) this.record(key, hint);
  }

  /** Gets the hints, the most recently used first. */
  *entries(): IterableIterator<[bigint, ChatHint]> {
    yield* this.#entries.entries();
  }

  /** Removes the hint of a chat that has come back, or whose holder is gone. */
  remove(key: bigint): void {
    this.#entries.delete(key);
  }

  /** Removes every hint that names a runner which has lost its cache. */
  expireRunner(runner: RunnerId): void {
    for (const [key, entry] of this.#entries.entries()) {
      if (entry.runner === runner) this.#entries.delete(key);
    }
  }
}
