import { hash64 } from "../hashing/mod.ts";

/** Fields of a chat message that routing uses. */
export type ChatMessage = { role: string; content: unknown };

/** Fields from which a chat key is computed. */
export type ChatKeyInput = {
  workspace: string;
  model: string;
  messages: ChatMessage[];
  /** Identifier that the caller set explicitly. */
  chatId?: string | undefined;
};

/**
 * Gets the 64-bit key of a chat from its workspace, model, system prompt and
 * first user message, or from its explicit identifier in place of the
 * messages. The key stays the same as the chat grows.
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
