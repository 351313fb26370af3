import { hash64 } from "../hashing/mod.ts";

/** One message of a chat as far as routing reads it. */
export type ChatMessage = { role: string; content: unknown };

/** What a chat key is made of. */
export type ChatKeyInput = {
  workspace: string;
  model: string;
  messages: ChatMessage[];
  /** Identifier that the caller gave explicitly. */
  chatId?: string | undefined;
};

/**
 * Gets the 64-bit key of a chat from its workspace, model, system prompt and
 * first user message. The key stays the same as the chat grows.
 */
export function getChatKey(input: ChatKeyInput): bigint {
  const scope = [input.workspace, input.model];
  if (input.chatId !== undefined) {
    return hash64(JSON.stringify([...scope, "id", input.chatId]));
  }
  const system = input.messages.find((message) => message.role === "system");
  const first = input.messages.find((message) => message.role === "user");
  return hash64(JSON.stringify([
    ...scope,
    system?.content ?? null,
    first?.content ?? null,
  ]));
}
