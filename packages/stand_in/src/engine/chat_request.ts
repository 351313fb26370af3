import type { IncomingHttpHeaders } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { z } from "zod";
import { countAnswerTokens, createAnswerTokens } from "./chat_answer.ts";
import {
  countTokens,
  type EngineModel,
  type EngineRequest,
  hashBlocks,
} from "./model/mod.ts";

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({
    role: z.string(),
    content: z.json().optional(),
  })).min(1),
  stream: z.boolean().optional(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() })
    .optional(),
  max_tokens: z.number().int().positive().optional(),
  /** Lower is served first, as vLLM has it. */
  priority: z.number().int().optional(),
});

/** A chat completion request as the engine reads it. */
export type ChatRequest = z.output<typeof chatSchema>;

/** Names of the request headers that an engine reads. */
export const engineHeaders = {
  /** Identifier for a later cancel. */
  requestId: "x-request-id",
  /** Lower is served first. */
  priority: "x-priority",
  /** Answer tokens that the reader has already. */
  resumeTokens: "x-resume-tokens",
} as const;

/**
 * Parses the body of a chat completion request.
 *
 * @throws AppError `invalidRequest`.
 */
export function parseChat(text: string): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw AppError.create("invalidRequest", "Body is not valid JSON", {
      cause: error,
    });
  }
  const result = chatSchema.safeParse(value);
  if (result.success) return result.data;
  throw AppError.create("invalidRequest", z.prettifyError(result.error));
}

/** Creates the engine model's request for a chat. */
export function createEngineRequest(
  chat: ChatRequest,
  options: { id: string; headers: IncomingHttpHeaders; model: EngineModel },
): EngineRequest {
  const { id, headers, model } = options;
  const { blockTokens } = model.profile;
  const prompt = formatPrompt(chat);
  const promptBlocks = hashBlocks(prompt, blockTokens);
  const whole = prompt + createAnswerTokens(chat).join("");
  const offsetTokens = getNumber(headers, engineHeaders.resumeTokens);
  return {
    id,
    ...findModel(chat.model, model),
    priority: chat.priority ?? getNumber(headers, engineHeaders.priority) ?? 0,
    promptTokens: countTokens(prompt),
    promptBlocks,
    answerTokens: countAnswerTokens(chat),
    answerBlocks: hashBlocks(whole, blockTokens).slice(promptBlocks.length),
    ...(offsetTokens === undefined ? {} : { offsetTokens }),
  };
}

/** Formats the messages so that a chat's next turn begins with this one. */
function formatPrompt(chat: ChatRequest): string {
  const parts = chat.messages.map(({ role, content }) => {
    const text = typeof content === "string"
      ? content
      : JSON.stringify(content ?? null);
    return `<${role}>${text}`;
  });
  return `${parts.join("")}<assistant>`;
}

/** Finds the model of a name, which may be that of an adapter. */
function findModel(
  name: string,
  model: EngineModel,
): { model: string; adapter?: string } {
  for (const [base, loaded] of model.models) {
    if (base !== name && loaded.adapters.includes(name)) {
      return { model: base, adapter: name };
    }
  }
  return { model: name };
}

function getNumber(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = headers[name];
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isSafeInteger(number)) return number;
  throw AppError.create("invalidRequest", `Header ${name} is not a number`);
}
