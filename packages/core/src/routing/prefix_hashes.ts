import { hash64 } from "../hashing/mod.ts";
import type { ChatMessage } from "./chat_key.ts";

/** Characters of the serialized prefix in a block; about 64 tokens. */
export const prefixBlockCharacters = 256;

/**
 * Hashes the prefix of a chat in blocks, where the hash of a block also covers
 * all blocks before it. Messages are appended as the chat grows, so that each
 * turn hashes only its new text.
 */
export class PrefixHasher {
  readonly #hashes: bigint[] = [];
  #pending = "";

  private constructor() {}

  /** Creates the hasher of an empty prefix. */
  static create(): PrefixHasher {
    return new PrefixHasher();
  }

  /** Hashes of the complete blocks, in order. */
  get hashes(): readonly bigint[] {
    return this.#hashes;
  }

  /** Appends a message to the prefix. */
  append(message: ChatMessage): void {
    this.#pending += JSON.stringify([message.role, message.content ?? null]);
    let start = 0;
    while (this.#pending.length - start >= prefixBlockCharacters) {
      const end = start + prefixBlockCharacters;
      const previous = this.#hashes.at(-1) ?? 0n;
      this.#hashes.push(hash64(this.#pending.slice(start, end), previous));
      start = end;
    }
    this.#pending = this.#pending.slice(start);
  }
}

/** Hashes the prefix formed by a list of messages, in blocks. */
export function hashPrefix(messages: readonly ChatMessage[]): bigint[] {
  const hasher = PrefixHasher.create();
  for (const message of messages) hasher.append(message);
  return [...hasher.hashes];
}

/** Counts the leading blocks that two prefixes have in common. */
export function countSharedBlocks(
  left: readonly bigint[],
  right: readonly bigint[],
): number {
  const length = Math.min(left.length, right.length);
  for (let index = 0; index < length; index++) {
    if (left[index] !== right[index]) return index;
  }
  return length;
}
