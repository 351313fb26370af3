/**
 * Identifies a KV block by its content and all that precedes it; a safe
 * integer.
 */
export type BlockHash = number;

/** One generation as the engine model sees it. */
export type EngineRequest = {
  id: string;
  model: string;
  adapter?: string;
  /** Lower is started first. */
  priority: number;
  promptTokens: number;
  /** Hashes of the full blocks of the prompt, in order. */
  promptBlocks: readonly BlockHash[];
  answerTokens: number;
  /** Hashes of the full blocks that the answer adds, in order. */
  answerBlocks: readonly BlockHash[];
  /** Answer tokens that the reader already has; they are not sent again. */
  offsetTokens?: number;
};

/** What an engine model reports, in order of time. */
export type EngineEvent =
  | {
    type: "started";
    id: string;
    atMs: number;
    cachedTokens: number;
    /** Prompt tokens that have to be computed. */
    computedTokens: number;
  }
  | { type: "token"; id: string; atMs: number; index: number }
  | { type: "finished"; id: string; atMs: number };

/** Load of an engine at one time. */
export type EngineLoad = {
  atMs: number;
  waiting: number;
  running: number;
  /** Prompt tokens to compute and answer tokens to generate. */
  outstandingTokens: number;
  usedBlocks: number;
  memoryBlocks: number;
};
