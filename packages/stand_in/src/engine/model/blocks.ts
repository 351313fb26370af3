import { hash64 } from "@jasminetide/core/hashing";
import type { BlockHash } from "./types.ts";

/** Number of characters that count as one token. */
export const charactersPerToken = 4;

/** Low bits dropped from a 64-bit hash so that it is a safe integer. */
const droppedBits = 11n;

/** Counts the tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/**
 * Hashes the full blocks of a text. The hash of a block also covers the text
 * before it, so equal hashes mean equal prefixes.
 */
export function hashBlocks(text: string, blockTokens: number): BlockHash[] {
  const size = blockTokens * charactersPerToken;
  const blocks: BlockHash[] = [];
  let previous = 0n;
  for (let end = size; end <= text.length; end += size) {
    previous = hash64(text.slice(end - size, end), previous);
    blocks.push(Number(previous >> droppedBits));
  }
  return blocks;
}
