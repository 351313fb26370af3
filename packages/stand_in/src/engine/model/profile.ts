import { z } from "zod";

/** How fast, how large and how truthful an engine is. */
export const engineProfileShape = {
  /** Time from the arrival of a request to its first step. */
  firstTokenMs: z.number().nonnegative().default(20),
  /** Duration of a step with an empty batch. */
  betweenTokensMs: z.number().nonnegative().default(5),
  /** Time that each sequence of the batch adds to a step. */
  sequenceStepMs: z.number().nonnegative().default(0.1),
  /** Time that each prefilled prompt token adds to a step. */
  prefillTokenMs: z.number().nonnegative().default(0.02),
  maximumBatch: z.number().int().positive().default(64),
  /** Prompt tokens computed in one step, shared by the batch. */
  prefillTokensPerStep: z.number().int().positive().default(2048),
  blockTokens: z.number().int().positive().default(16),
  /** Memory for KV blocks, in use and cached. */
  memoryBlocks: z.number().int().positive().default(65_536),
  /** Time to take in one imported block. */
  importBlockMs: z.number().nonnegative().default(0.05),
  /** Delay after which a cache event can be read. */
  cacheEventDelayMs: z.number().nonnegative().default(200),
  /** Share of cache events that are lost; their numbers are missing. */
  cacheEventLoss: z.number().min(0).max(1).default(0),
  /** Period at which the load report changes. */
  loadReportPeriodMs: z.number().nonnegative().default(500),
  /** Age of a load report when it becomes readable. */
  loadReportLagMs: z.number().nonnegative().default(500),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(false),
  /** Size of the weights that an order to load a model fetches. */
  modelBytes: z.number().nonnegative().default(1_000_000_000),
};

/** Schema of an engine's profile; other fields are left out. */
export const engineProfileSchema = z.object(engineProfileShape);

/** How fast, how large and how truthful an engine is. */
export type EngineProfile = z.output<typeof engineProfileSchema>;

/** Creates a profile with defaults for what is absent. */
export function createEngineProfile(
  profile: Partial<EngineProfile> = {},
): EngineProfile {
  return engineProfileSchema.parse(profile);
}
