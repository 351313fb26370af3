import type { BlockCache } from "./block_cache.ts";
import type { BlockHash, EngineRequest } from "./types.ts";

/** One generation with its progress. */
export type Sequence = {
  request: EngineRequest;
  order: number;
  readyAtMs: number;
  /** Tokens to compute before the next answer token. */
  prefillTokens: number;
  /** Answer tokens that exist, those of the offset included. */
  answeredTokens: number;
  /** Blocks pinned in the cache. */
  pinned: BlockHash[];
  /** Blocks reserved without content. */
  reservedBlocks: number;
};

/** Creates a sequence that waits. */
export function createSequence(
  request: EngineRequest,
  options: { order: number; readyAtMs: number },
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

/** Counts the blocks that a request needs at its end. */
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
 * Takes memory for a sequence and finds what of its prompt is cached.
 *
 * @returns the cached tokens, or undefined when there is no room yet.
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
  const prefix = cache.getPrefix(chain);
  const needed = countNeededBlocks(request, blockTokens);
  if (!cache.reserve(prefix, needed - prefix.length)) return undefined;
  sequence.pinned = prefix;
  sequence.reservedBlocks = needed - prefix.length;
  // The last token is always computed: its output is the next token.
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
  const fresh = options.chain.slice(sequence.pinned.length);
  if (fresh.length === 0) return;
  options.cache.store(fresh);
  sequence.pinned.push(...fresh);
  sequence.reservedBlocks -= fresh.length;
}

/** Gives back a sequence's memory; what it stored stays cached. */
export function releaseSequence(sequence: Sequence, cache: BlockCache): void {
  cache.release(sequence.pinned, sequence.reservedBlocks);
  sequence.pinned = [];
  sequence.reservedBlocks = 0;
}
