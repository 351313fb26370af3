import { hash32 } from "@jasminetide/core/hashing";

/** Request body that engines read (OpenAI chat completions). */
export type ChatBody = {
  model: string;
  messages: { role: string; content?: unknown }[];
  stream?: boolean | undefined;
  max_tokens?: number | undefined;
};

/** Tokens of a request and its answer (OpenAI's names). */
export type ChatUsage = {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
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
  usage?: ChatUsage;
};

/** What all events of an answer share. */
export type AnswerStamp = { id: string; createdSeconds: number };

const defaultAnswerTokens = 16;

/** Counts the tokens of the whole answer to a request. */
export function countAnswerTokens(body: ChatBody): number {
  return body.max_tokens ?? defaultAnswerTokens;
}

/**
 * Creates the tokens of an answer. They follow from the request alone, so a
 * reader can tell whose answer it is and whether it is whole.
 */
export function createAnswerTokens(body: ChatBody): string[] {
  const token = hash32(JSON.stringify(body.messages)).toString(16);
  return Array.from(
    { length: countAnswerTokens(body) },
    (_, index) => `${token}-${index} `,
  );
}

/** Creates the usage of an answer. */
export function createUsage(
  tokens: { prompt: number; cached: number; answer: number },
): ChatUsage {
  return {
    prompt_tokens: tokens.prompt,
    completion_tokens: tokens.answer,
    total_tokens: tokens.prompt + tokens.answer,
    prompt_tokens_details: { cached_tokens: tokens.cached },
  };
}

/** Creates one event of a streamed answer; without content, the last. */
export function createChunk(
  body: ChatBody,
  part: AnswerStamp & { content?: string },
): ChatChunk {
  return {
    ...createChunkHead(body, part),
    choices: [{
      index: 0,
      delta: part.content === undefined ? {} : { content: part.content },
      finish_reason: part.content === undefined ? "stop" : null,
    }],
  };
}

/** Creates the event that carries the usage of a stream. */
export function createUsageChunk(
  body: ChatBody,
  part: AnswerStamp & { usage: ChatUsage },
): ChatChunk {
  return { ...createChunkHead(body, part), choices: [], usage: part.usage };
}

/** Creates a whole answer from the tokens after the offset. */
export function createCompletion(
  body: ChatBody,
  answer: AnswerStamp & { usage: ChatUsage; offsetTokens: number },
) {
  return {
    id: answer.id,
    object: "chat.completion",
    created: answer.createdSeconds,
    model: body.model,
    choices: [{
      index: 0,
      message: {
        role: "assistant",
        content: createAnswerTokens(body).slice(answer.offsetTokens).join(""),
      },
      finish_reason: "stop",
    }],
    usage: answer.usage,
  };
}

function createChunkHead(body: ChatBody, stamp: AnswerStamp) {
  return {
    id: stamp.id,
    object: "chat.completion.chunk" as const,
    created: stamp.createdSeconds,
    model: body.model,
  };
}
