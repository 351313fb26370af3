const usageFields = [
  "prompt_tokens",
  "completion_tokens",
  "cached_tokens",
] as const;

/**
 * Finds the computed tokens in the usage of an OpenAI-compatible answer: those
 * of the prompt that were not cached, and those of the answer.
 *
 * @param tail end of the answer's text.
 */
export function findComputedTokens(tail: string): number | undefined {
  const [prompt, answer, cached] = usageFields.map((name) =>
    new RegExp(`"${name}":\\s*(\\d+)`).exec(tail)?.[1]
  );
  if (prompt === undefined || answer === undefined) return undefined;
  return Number(prompt) + Number(answer) - Number(cached ?? "0");
}
