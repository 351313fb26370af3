import type { BlockCache } from "./block_cache.ts";
import type { BlockHash, EngineRequest } from "./types.ts";

/** A request being generated, with its progress. */
export type Sequence = {
  request: EngineRequest;
  /** Position in the order of arrival. */
  arrivalNumber: number;
  /** Earliest time at which the sequence may start. */
  readyAtMs: number;
  /** Tokens to prefill before the next answer token. */
  prefillTokens: number;
  /** Answer tokens generated so far, including those of the offset. */
  answeredTokens: number;
  /** Blocks pinned in the cache. */
  pinned: BlockHash[];
  /** Number of blocks reserved in the cache but not stored yet. */
  reservedBlocks: number;
};

/** Creates a waiting sequence. */
export function createSequence(
  request: EngineRequest,
  options: { arrivalNumber: number; readyAtMs: number },
): Sequence {
  const offsetTokens = request.offsetTokens ?? 0;
  return {
    request,
    ...options,
    prefillTokens: request.promptTokens + offsetTokens,
    answeredTokens: offsetTokens,
    pinned: [],
    reservedBlocks: 0,
  };
}

/** Counts the blocks that a request occupies when it is complete. */
export function countNeededBlocks(
  request: EngineRequest,
  blockTokens: number,
): number {
  return Math.max(
    Math.ceil((request.promptTokens + request.answerTokens) / blockTokens),
    request.promptBlocks.length + request.answerBlocks.length,
  );
}

/**
 * Reserves memory for a sequence and pins its cached prefix.
 *
 * @returns the number of cached tokens, or undefined if memory is short.
 */
export function reserveSequence(
  sequence: Sequence,
  options: { cache: BlockCache; blockTokens: number },
): number | undefined {
  const { request } = sequence;
  const { cache, blockTokens } = options;
  const chain = request.offsetTokens === undefined
    ? request.promptBlocks
    : [...request.promptBlocks, ...request.answerBlocks];
  const prefix = cache.getCachedPrefix(chain);
  const needed = countNeededBlocks(request, blockTokens);
  if (!cache.reserve(prefix, needed - prefix.length)) return undefined;
  sequence.pinned = prefix;
  sequence.reservedBlocks = needed - prefix.length;
  // The last token is always computed, as its output is the next token.
  const cachedTokens = Math.min(
    prefix.length * blockTokens,
    sequence.prefillTokens - 1,
  );
  sequence.prefillTokens -= cachedTokens;
  return cachedTokens;
}

/** Stores the blocks of a chain that the sequence has not pinned yet. */
export function storeBlocks(
  sequence: Sequence,
  options: { cache: BlockCache; chain: readonly BlockHash[] },
): void {
  const newBlocks = options.chain.slice(sequence.pinned.length);
  if (newBlocks.length === 0) return;
  options.cache.store(newBlocks);
  sequence.pinned.push(...newBlocks);
  sequence.reservedBlocks -= newBlocks.length;
}

/** Frees the memory of a sequence; blocks that it stored stay cached. */
export function releaseSequence(sequence: Sequence, cache: BlockCache): void {
  cache.release(sequence.pinned, sequence.reservedBlocks);
  sequence.pinned = [];
  sequence.reservedBlocks = 0;
}
