import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";

const maxDurationSeconds = 3600;
const maxRequests = 2_000_000;

const positive = z.number().positive();

/** A range from which values are drawn evenly. */
const rangeSchema = z.strictObject({
  minimum: z.number().nonnegative(),
  maximum: z.number().nonnegative(),
}).refine(
  (range) => range.minimum <= range.maximum,
  "a minimum that is not above the maximum",
);

/** A range from which values are drawn evenly. */
export type Range = z.output<typeof rangeSchema>;

const mixShape = {
  name: z.string().min(1),
  /** Caller key of the workspace. */
  key: z.string().min(1),
  workspace: z.string().min(1),
  /** Arrivals of new chats or calls, a Poisson process. */
  ratePerSecond: positive,
};

/** Chats that return after pauses. */
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
  /** Path below the service; `{account}` stands for the account. */
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
  /** Share of calls that are sent again with the same key. */
  repeatRatio: z.number().min(0).max(1).default(0.1),
  /** Share of calls without a key, which are never repeated. */
  keylessRatio: z.number().min(0).max(1).default(0),
});

/** A mix of calls that move money. */
export type MoneyMix = z.output<typeof moneyMixSchema>;

/** A part of the load. */
export const mixSchema = z.discriminatedUnion("kind", [
  chatMixSchema,
  lookupMixSchema,
  moneyMixSchema,
]);

/** A part of the load. */
export type Mix = z.output<typeof mixSchema>;

/** A scenario of load. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  seed: z.number().int().default(1),
  /** Routers; calls are spread over them evenly. */
  targets: z.array(addressSchema).min(1),
  durationSeconds: positive.max(maxDurationSeconds).default(10),
  /** Requests after which no more arrive. */
  maximumRequests: z.number().int().positive().max(maxRequests).default(50_000),
  /** Requests in flight; later ones wait, and their latency counts. */
  maximumInFlight: z.number().int().positive().max(4096).default(512),
  /** Time after the last arrival in which answers are waited for. */
  graceSeconds: positive.max(600).default(15),
  /** Whose processes are asked for their configuration each second. */
  platformAddress: addressSchema.optional(),
  operatorKey: z.string().min(1).optional(),
  /** Stand-ins of services that tell which keys took effect. */
  effectAddresses: z.array(addressSchema).default([]),
  mixes: z.array(mixSchema).min(1),
});

/** A scenario of load, parsed. */
export type Scenario = z.output<typeof scenarioSchema>;
