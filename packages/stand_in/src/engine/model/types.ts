/**
 * Hash of the content of a KV block and of all blocks before it; a safe
 * integer.
 */
export type BlockHash = number;

/** A request to generate an answer. */
export type EngineRequest = {
  id: string;
  model: string;
  adapter?: string;
  /** Lower values start first. */
  priority: number;
  promptTokens: number;
  /** Hashes of the full blocks of the prompt, in order. */
  promptBlocks: readonly BlockHash[];
  answerTokens: number;
  /** Hashes of the full blocks that the answer adds to the prompt, in order. */
  answerBlocks: readonly BlockHash[];
  /** Answer tokens that the client already has; they are not sent again. */
  offsetTokens?: number;
};

/** An event of a request; an engine model emits events in order of time. */
export type EngineEvent =
  | {
    type: "started";
    id: string;
    atMs: number;
    cachedTokens: number;
    /** Tokens that have to be prefilled. */
    computedTokens: number;
  }
  | { type: "token"; id: string; atMs: number; index: number }
  | { type: "finished"; id: string; atMs: number };

/** Load of an engine at time `atMs`. */
export type EngineLoad = {
  atMs: number;
  waiting: number;
  running: number;
  /** Tokens still to prefill and answer tokens still to generate. */
  outstandingTokens: number;
  usedBlocks: number;
  memoryBlocks: number;
};
