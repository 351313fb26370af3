/** Events of a history, which is stored as one JSON object per line. */
import { z } from "zod";

const timeMs = z.number().nonnegative();
const id = z.string().min(1);

/** First line of a history. */
const headerSchema = z.object({
  type: z.literal("header"),
  formatVersion: z.literal(1),
  /** Which effects at runners are recorded in the history. */
  effects: z.enum(["none", "by-key", "all"]),
  seed: z.number().int().optional(),
});

/** A chat whose answer consists of tokens unique to it. */
const chatSchema = z.object({
  kind: z.literal("chat"),
  workspace: z.string(),
  model: z.string(),
  /** Prefix of every token of the answer. */
  answerToken: z.string().min(1),
  answerTokens: z.number().int().nonnegative(),
});

const lookupSchema = z.object({
  kind: z.literal("lookup"),
  service: z.string(),
  account: z.string(),
});

/** A call that is not idempotent; without a key it is sent only once. */
const moneySchema = z.object({
  kind: z.literal("money"),
  service: z.string(),
  key: id.optional(),
  account: z.string(),
  amount: z.number(),
});

const operationSchema = z.discriminatedUnion("kind", [
  chatSchema,
  lookupSchema,
  moneySchema,
]);

/** Operation that a caller requests. */
export type Operation = z.output<typeof operationSchema>;

/** Operation that moves money. */
export type MoneyOperation = z.output<typeof moneySchema>;

const invokeSchema = z.object({
  type: z.literal("invoke"),
  id,
  atMs: timeMs,
  operation: operationSchema,
});

const outcomeSchema = z.discriminatedUnion("type", [
  /** An answer that the caller considers complete. */
  z.object({
    type: z.literal("answered"),
    /** Text of the answer, or its canonical body. */
    answer: z.string(),
  }),
  /** A problem document, or an error inside a stream. */
  z.object({
    type: z.literal("failed"),
    code: z.number().int(),
    executed: z.enum(["no", "yes", "unknown"]),
  }),
  /** No answer, or one that the caller recognized as truncated. */
  z.object({ type: z.literal("lost") }),
]);

/** Outcome of a call as its caller observed it. */
export type Outcome = z.output<typeof outcomeSchema>;

const completeSchema = z.object({
  type: z.literal("complete"),
  id,
  atMs: timeMs,
  outcome: outcomeSchema,
});

/** Execution of a call at a runner. */
const effectSchema = z.object({
  type: z.literal("effect"),
  runner: z.string(),
  /** Idempotency key of the call, or its id if it has no key. */
  key: id,
});

/** Current configuration of a process. */
const configurationSchema = z.object({
  type: z.literal("configuration"),
  process: z.string(),
  atMs: timeMs,
  /** 0 until the first configuration is loaded. */
  version: z.number().int().nonnegative(),
});

/** Schema of one line of a history. */
export const eventSchema = z.discriminatedUnion("type", [
  headerSchema,
  invokeSchema,
  completeSchema,
  effectSchema,
  configurationSchema,
]);

/** One line of a history. */
export type HistoryEvent = z.output<typeof eventSchema>;

/** An event of one type. */
export type EventOf<Type extends HistoryEvent["type"]> = Extract<
  HistoryEvent,
  { type: Type }
>;
