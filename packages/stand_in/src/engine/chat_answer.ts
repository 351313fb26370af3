import { hash32 } from "@jasminetide/core/hashing";

/** Fields of an OpenAI chat completion request that the engine reads. */
export type ChatBody = {
  model: string;
  messages: { role: string; content?: unknown }[];
  stream?: boolean | undefined;
  max_tokens?: number | undefined;
};

/** Token counts of a request and its answer, with OpenAI's field names. */
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

/** Fields that all events of an answer have in common. */
export type AnswerMetadata = { id: string; createdSeconds: number };

const defaultAnswerTokens = 16;

/** Counts the tokens of the whole answer to a request. */
export function countAnswerTokens(body: ChatBody): number {
  return body.max_tokens ?? defaultAnswerTokens;
}

/**
 * Creates the tokens of an answer. They depend only on the request, so that a
 * client can verify that an answer belongs to its request and is complete.
 */
export function createAnswerTokens(body: ChatBody): string[] {
  const token = hash32(JSON.stringify(body.messages)).toString(16);
  return Array.from(
    { length: countAnswerTokens(body) },
    (_, index) => `${token}-${index} `,
  );
}

/** Creates the usage field of an answer. */
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

/**
 * Creates one event of a streamed answer. Without content, it is the last
 * event before the usage.
 */
export function createChunk(
  body: ChatBody,
  fields: AnswerMetadata & { content?: string },
): ChatChunk {
  return {
    ...createChunkBase(body, fields),
    choices: [{
      index: 0,
      delta: fields.content === undefined ? {} : { content: fields.content },
      finish_reason: fields.content === undefined ? "stop" : null,
    }],
  };
}

/** Creates the event of a streamed answer that contains its usage. */
export function createUsageChunk(
  body: ChatBody,
  fields: AnswerMetadata & { usage: ChatUsage },
): ChatChunk {
  return { ...createChunkBase(body, fields), choices: [], usage: fields.usage };
}

/** Creates a non-streamed answer with the tokens after the offset. */
export function createCompletion(
  body: ChatBody,
  answer: AnswerMetadata & { usage: ChatUsage; offsetTokens: number },
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

function createChunkBase(body: ChatBody, metadata: AnswerMetadata) {
  return {
    id: metadata.id,
    object: "chat.completion.chunk" as const,
    created: metadata.createdSeconds,
    model: body.model,
  };
}
