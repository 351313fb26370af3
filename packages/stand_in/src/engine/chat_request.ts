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
  /** Lower values are served first, as in vLLM. */
  priority: z.number().int().optional(),
});

/** A parsed chat completion request. */
export type ChatRequest = z.output<typeof chatSchema>;

/** Names of the request headers that an engine reads. */
export const engineHeaders = {
  /** Identifier by which the request can be cancelled. */
  requestId: "x-request-id",
  /** Lower values are served first. */
  priority: "x-priority",
  /** Number of answer tokens that the client has already received. */
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

/** Converts a chat completion request to a request of the engine model. */
export function createEngineRequest(
  chat: ChatRequest,
  options: { id: string; headers: IncomingHttpHeaders; model: EngineModel },
): EngineRequest {
  const { id, headers, model } = options;
  const { blockTokens } = model.profile;
  const prompt = formatPrompt(chat);
  const promptBlocks = hashBlocks(prompt, blockTokens);
  const promptAndAnswer = prompt + createAnswerTokens(chat).join("");
  const offsetTokens = parseNumberHeader(headers, engineHeaders.resumeTokens);
  return {
    id,
    ...findModel(chat.model, model),
    priority: chat.priority ??
      parseNumberHeader(headers, engineHeaders.priority) ?? 0,
    promptTokens: countTokens(prompt),
    promptBlocks,
    answerTokens: countAnswerTokens(chat),
    answerBlocks: hashBlocks(promptAndAnswer, blockTokens).slice(
      promptBlocks.length,
    ),
    ...(offsetTokens === undefined ? {} : { offsetTokens }),
  };
}

/** Formats the messages so that the prompt is a prefix of the next turn's. */
function formatPrompt(chat: ChatRequest): string {
  const parts = chat.messages.map(({ role, content }) => {
    const text = typeof content === "string"
      ? content
      : JSON.stringify(content ?? null);
    return `<${role}>${text}`;
  });
  return `${parts.join("")}<assistant>`;
}

/** Finds a model by its own name or by the name of one of its adapters. */
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

function parseNumberHeader(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = headers[name];
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isSafeInteger(number)) return number;
  throw AppError.create("invalidRequest", `Header ${name} is not an integer`);
}
