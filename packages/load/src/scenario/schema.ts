import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";

const maxDurationSeconds = 3600;
const maxRequests = 2_000_000;

const positive = z.number().positive();

/** A range from which values are drawn uniformly. */
const rangeSchema = z.strictObject({
  minimum: z.number().nonnegative(),
  maximum: z.number().nonnegative(),
}).refine(
  (range) => range.minimum <= range.maximum,
  "a minimum that is not above the maximum",
);

/** A range from which values are drawn uniformly. */
export type Range = z.output<typeof rangeSchema>;

const mixShape = {
  name: z.string().min(1),
  /** API key of the workspace. */
  key: z.string().min(1),
  workspace: z.string().min(1),
  /** Mean rate of new chats or calls, which arrive as a Poisson process. */
  ratePerSecond: positive,
};

/** Chats of several turns with pauses between them. */
const chatMixSchema = z.strictObject({
  ...mixShape,
  kind: z.literal("chat"),
  model: z.string().min(1),
  turns: rangeSchema,
  pauseMs: rangeSchema,
  systemPromptCharacters: z.number().int().nonnegative().default(400),
  messageCharacters: rangeSchema,
  answerTokens: rangeSchema,
  isStreamed: z.boolean().default(true),
});

/** A mix of chats. */
export type ChatMix = z.output<typeof chatMixSchema>;

const lookupMixSchema = z.strictObject({
  ...mixShape,
  kind: z.literal("lookup"),
  service: z.string().min(1),
  /** Path below the service; `{account}` is replaced by the account. */
  path: z.string().startsWith("/"),
  accounts: z.number().int().positive().default(1000),
});

/** A mix of idempotent lookups. */
export type LookupMix = z.output<typeof lookupMixSchema>;

const moneyMixSchema = z.strictObject({
  ...mixShape,
  kind: z.literal("money"),
  service: z.string().min(1),
  path: z.string().startsWith("/"),
  accounts: z.number().int().positive().default(1000),
  /** Share of calls that are sent twice with the same key. */
  repeatRatio: z.number().min(0).max(1).default(0.1),
  /** Share of calls without a key, which are sent only once. */
  keylessRatio: z.number().min(0).max(1).default(0),
});

/** A mix of calls that move money. */
export type MoneyMix = z.output<typeof moneyMixSchema>;

/** Schema of one kind of load in a scenario. */
export const mixSchema = z.discriminatedUnion("kind", [
  chatMixSchema,
  lookupMixSchema,
  moneyMixSchema,
]);

/** One kind of load in a scenario. */
export type Mix = z.output<typeof mixSchema>;

/** Schema of a load scenario. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  seed: z.number().int().default(1),
  /** Addresses of routers; calls are distributed evenly over them. */
  targets: z.array(addressSchema).min(1),
  durationSeconds: positive.max(maxDurationSeconds).default(10),
  /** Limit on the number of requests in the run. */
  maximumRequests: z.number().int().positive().max(maxRequests).default(50_000),
  /** Limit on requests in flight; the wait of others counts as latency. */
  maximumInFlight: z.number().int().positive().max(4096).default(512),
  /** Time to wait for answers after the last arrival. */
  graceSeconds: positive.max(600).default(15),
  /** Platform that lists the processes whose dumps are read each second. */
  platformAddress: addressSchema.optional(),
  operatorKey: z.string().min(1).optional(),
  /** Addresses of stand-in services that report which keys took effect. */
  effectAddresses: z.array(addressSchema).default([]),
  mixes: z.array(mixSchema).min(1),
});

/** A parsed load scenario. */
export type Scenario = z.output<typeof scenarioSchema>;
