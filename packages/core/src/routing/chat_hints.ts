import { LRUCache } from "lru-cache";
import type { RunnerId } from "../tables/mod.ts";

/** Location and size of the cached prefix of a chat. */
export type ChatHint = { runner: RunnerId; tokens: number };

/**
 * Chooses the newer of two hints. Chats only grow, so the newer hint is the
 * one with the longer prefix.
 */
export function chooseLongerHint(
  left: ChatHint | undefined,
  right: ChatHint | undefined,
): ChatHint | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return right.tokens > left.tokens ? right : left;
}

/** Limits on the hints that one sidecar stores. */
export type ChatHintOptions = {
  maximumHints: number;
  /** Time after which a hint expires, in milliseconds. */
  retentionMs: number;
  getNowMs: () => number;
};

type Entry = ChatHint & { expiresAtMs: number };

/**
 * Hints for chats whose cache is held by a runner other than their home,
 * stored by the home's sidecar. The least recently used hint is evicted first;
 * the loss of a hint costs a recomputation of the chat's prefix.
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

  /** Finds the runner whose cache holds a chat. */
  find(key: bigint): ChatHint | undefined {
    const entry = this.#entries.get(key);
    if (entry === undefined) return undefined;
    if (entry.expiresAtMs > this.#options.getNowMs()) return entry;
    this.#entries.delete(key);
    return undefined;
  }

  /** Records the runner that now holds a chat, replacing any older hint. */
  record(key: bigint, hint: ChatHint): void {
    const expiresAtMs = this.#options.getNowMs() + this.#options.retentionMs;
    this.#entries.set(key, { ...hint, expiresAtMs });
  }

  /** Records a hint unless a newer one is stored. */
  offer(key: bigint, hint: ChatHint): void {
    const current = this.find(key);
    if (chooseLongerHint(current, hint) === hint) this.record(key, hint);
  }

  /** Iterates over the hints, most recently used first. */
  *entries(): IterableIterator<[bigint, ChatHint]> {
    yield* this.#entries.entries();
  }

  /** Removes the hint of a chat that is back at its home or lost its holder. */
  remove(key: bigint): void {
    this.#entries.delete(key);
  }

  /** Removes all hints that point to a runner whose cache is lost. */
  expireRunner(runner: RunnerId): void {
    for (const [key, entry] of this.#entries.entries()) {
      if (entry.runner === runner) this.#entries.delete(key);
    }
  }
}
