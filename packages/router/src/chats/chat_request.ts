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

/** A chat completion request as far as the router reads it. */
export type ChatRequest = z.output<typeof chatSchema>;

/** Tokens that an answer is expected to take when the caller sets no limit. */
const defaultAnswerTokens = 256;

const bytesPerToken = 4;

/**
 * Parses the body of a chat completion request.
 *
 * @throws AppError `invalidRequest` naming each fault.
 */
export function parseChatRequest(body: Uint8Array): ChatRequest {
  const result = chatSchema.safeParse(parseJsonBody(body));
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  throw AppError.create("invalidRequest", faults.join("; "));
}

/** Estimates the work of a request in tokens. */
export function getCostTokens(chat: ChatRequest, bodyBytes: number): number {
  const promptTokens = Math.ceil(bodyBytes / bytesPerToken);
  return promptTokens + (chat.max_tokens ?? defaultAnswerTokens);
}
