import { hash32 } from "@jasminetide/core/hashing";

/** Request body that engines read (OpenAI chat completions). */
export type ChatBody = {
  model: string;
  messages: { role: string; content: unknown }[];
  stream?: boolean;
  max_tokens?: number;
};

/** One event of a streamed answer. */
export type ChatChunk = {
  id: string;
  object: "chat.completion.chunk";
  created: number;
  model: string;
  choices: {
    index: 0;
    delta: { role?: "assistant"; content?: string };
    finish_reason: "stop" | null;
  }[];
};

const defaultAnswerTokens = 16;

/**
 * Creates the tokens of an answer. They follow from the request alone, so a
 * reader can tell whose answer it is and whether it is whole.
 */
export function createAnswerTokens(body: ChatBody): string[] {
  const token = hash32(JSON.stringify(body.messages)).toString(16);
  const count = body.max_tokens ?? defaultAnswerTokens;
  return Array.from({ length: count }, (_, index) => `${token}-${index} `);
}

/** Creates one event of a streamed answer. */
export function createChunk(
  body: ChatBody,
  part: { id: string; createdSeconds: number; content?: string },
): ChatChunk {
  return {
    id: part.id,
    object: "chat.completion.chunk",
    created: part.createdSeconds,
    model: body.model,
    choices: [{
      index: 0,
      delta: part.content === undefined ? {} : { content: part.content },
      finish_reason: part.content === undefined ? "stop" : null,
    }],
  };
}

/** Creates a whole answer. */
export function createCompletion(
  body: ChatBody,
  answer: { id: string; createdSeconds: number; promptTokens: number },
) {
  const tokens = createAnswerTokens(body);
  return {
    id: answer.id,
    object: "chat.completion",
    created: answer.createdSeconds,
    model: body.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: tokens.join("") },
      finish_reason: "stop",
    }],
    usage: {
      prompt_tokens: answer.promptTokens,
      completion_tokens: tokens.length,
      total_tokens: answer.promptTokens + tokens.length,
    },
  };
}
