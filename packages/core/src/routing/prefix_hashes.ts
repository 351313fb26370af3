import { hash64 } from "../hashing/mod.ts";
import type { ChatMessage } from "./chat_key.ts";

/** Characters that one block covers; about 64 tokens. */
export const prefixBlockCharacters = 256;

/**
 * Hashes the prefix of one chat by blocks, each hash covering everything
 * before it. Messages are appended as the chat grows, so that a turn costs
 * only its new text.
 */
export class PrefixHasher {
  readonly #hashes: bigint[] = [];
  #rest = "";

  private constructor() {}

  /** Creates the hasher of an empty prefix. */
  static create(): PrefixHasher {
    return new PrefixHasher();
  }

  /** Hash of each whole block, the first block first. */
  get hashes(): readonly bigint[] {
    return this.#hashes;
  }

  /** Appends a message to the prefix. */
  append(message: ChatMessage): void {
    this.#rest += JSON.stringify([message.role, message.content ?? null]);
    let start = 0;
    while (this.#rest.length - start >= prefixBlockCharacters) {
      const end = start + prefixBlockCharacters;
      const previous = this.#hashes.at(-1) ?? 0n;
      this.#hashes.push(hash64(this.#rest.slice(start, end), previous));
      start = end;
    }
    this.#rest = this.#rest.slice(start);
  }
}

/** Hashes the prefix that some messages make, by blocks. */
export function hashPrefix(messages: readonly ChatMessage[]): bigint[] {
  const hasher = PrefixHasher.create();
  for (const message of messages) hasher.append(message);
  return [...hasher.hashes];
}

/** Counts the leading blocks that two prefixes share. */
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
