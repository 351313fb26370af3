import { z } from "zod";

/** Fields of a profile: speed, memory, and delay and loss of its reports. */
export const engineProfileShape = {
  /** Minimum time from the arrival of a request to its first step. */
  firstTokenMs: z.number().nonnegative().default(20),
  /** Duration of a step with an empty batch. */
  betweenTokensMs: z.number().nonnegative().default(5),
  /** Time that each sequence of the batch adds to a step. */
  sequenceStepMs: z.number().nonnegative().default(0.1),
  /** Time that each prefilled token adds to a step. */
  prefillTokenMs: z.number().nonnegative().default(0.02),
  /** Maximum number of sequences in a batch. */
  maximumBatch: z.number().int().positive().default(64),
  /** Maximum number of tokens prefilled in one step by the whole batch. */
  prefillTokensPerStep: z.number().int().positive().default(2048),
  /** Tokens in one KV block. */
  blockTokens: z.number().int().positive().default(16),
  /** Number of KV blocks that fit in memory, pinned or cached. */
  memoryBlocks: z.number().int().positive().default(65_536),
  /** Time to import one block. */
  importBlockMs: z.number().nonnegative().default(0.05),
  /** Delay before a cache event becomes readable. */
  cacheEventDelayMs: z.number().nonnegative().default(200),
  /** Share of cache events that are lost, leaving gaps in the sequence. */
  cacheEventLoss: z.number().min(0).max(1).default(0),
  /** Interval between two load reports. */
  loadReportPeriodMs: z.number().nonnegative().default(500),
  /** Delay before a load report becomes readable. */
  loadReportLagMs: z.number().nonnegative().default(500),
  /** Whether orders with a stale fencing number are refused. */
  checksFencing: z.boolean().default(false),
  /** Size of the weights of a model. */
  modelBytes: z.number().nonnegative().default(1_000_000_000),
};

/** Schema of an engine's profile; unknown fields are dropped. */
export const engineProfileSchema = z.object(engineProfileShape);

/** Speed and memory of an engine, and delay and loss of its reports. */
export type EngineProfile = z.output<typeof engineProfileSchema>;

/** Creates a profile; absent fields get their defaults. */
export function createEngineProfile(
  profile: Partial<EngineProfile> = {},
): EngineProfile {
  return engineProfileSchema.parse(profile);
}
