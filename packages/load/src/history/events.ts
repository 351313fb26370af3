/** The events of a history, one JSON object a line. */
import { z } from "zod";

const timeMs = z.number().nonnegative();
const id = z.string().min(1);

/** First line of a history. */
const headerSchema = z.object({
  type: z.literal("header"),
  formatVersion: z.literal(1),
  /** Which runs at runners are in the history. */
  effects: z.enum(["none", "by-key", "all"]),
  seed: z.number().int().optional(),
});

/** A chat whose answer consists of tokens that only it could yield. */
const chatSchema = z.object({
  kind: z.literal("chat"),
  workspace: z.string(),
  model: z.string(),
  /** Text that every token of the answer begins with. */
  answerToken: z.string().min(1),
  answerTokens: z.number().int().nonnegative(),
});

const lookupSchema = z.object({
  kind: z.literal("lookup"),
  service: z.string(),
  account: z.string(),
});

/** A call that is not idempotent; without a key it is sent once. */
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

/** What a caller asks for. */
export type Operation = z.output<typeof operationSchema>;

/** A call by the name of its kind. */
export type MoneyOperation = z.output<typeof moneySchema>;

const invokeSchema = z.object({
  type: z.literal("invoke"),
  id,
  atMs: timeMs,
  operation: operationSchema,
});

const outcomeSchema = z.discriminatedUnion("type", [
  /** A whole answer, as the caller takes it to be. */
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
  /** No answer, or one that the caller could tell was cut short. */
  z.object({ type: z.literal("lost") }),
]);

/** What a caller got. */
export type Outcome = z.output<typeof outcomeSchema>;

const completeSchema = z.object({
  type: z.literal("complete"),
  id,
  atMs: timeMs,
  outcome: outcomeSchema,
});

/** A call that ran at a runner. */
const effectSchema = z.object({
  type: z.literal("effect"),
  runner: z.string(),
  /** Idempotency key of the call, or the id of a call without one. */
  key: id,
});

/** The configuration that a process has in force. */
const configurationSchema = z.object({
  type: z.literal("configuration"),
  process: z.string(),
  atMs: timeMs,
  /** 0 before the first one. */
  version: z.number().int().nonnegative(),
});

/** Schema of one line. */
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
