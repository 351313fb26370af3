import { AppError } from "@jasminetide/core/results";
import { parseJsonBody } from "@jasminetide/runtime/http";
import { z } from "zod";

const messageSchema = z.looseObject({
  role: z.string().min(1),
  content: z.json().optional(),
});

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
});

/** A chat completion request; fields that the router ignores are kept. */
export type ChatRequest = z.output<typeof chatSchema>;

/** Expected tokens of an answer if the caller sets no `max_tokens`. */
const defaultAnswerTokens = 256;

/** Estimated bytes of a request body per prompt token. */
const bytesPerToken = 4;

/**
 * Parses the body of a chat completion request.
 *
 * @throws AppError `invalidRequest` listing every schema violation.
 */
export function parseChatRequest(body: Uint8Array): ChatRequest {
  const result = chatSchema.safeParse(parseJsonBody(body));
  if (result.success) return result.data;
  const messages = result.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  throw AppError.create("invalidRequest", messages.join("; "));
}

/** Estimates the cost of a request in tokens: prompt and answer. */
export function getCostTokens(chat: ChatRequest, bodyBytes: number): number {
  const promptTokens = Math.ceil(bodyBytes / bytesPerToken);
  return promptTokens + (chat.max_tokens ?? defaultAnswerTokens);
}
