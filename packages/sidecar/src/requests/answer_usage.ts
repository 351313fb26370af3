/**
 * Finds the token usage at the end of an OpenAI-compatible answer.
 *
 * @returns the prompt and answer tokens without the cached ones, or undefined
 * if the answer reports no usage.
 */
export function findComputedTokens(tail: string): number | undefined {
  const [prompt, answer, cached] = [
    "prompt_tokens",
    "completion_tokens",
    "cached_tokens",
  ].map((name) => new RegExp(`"${name}":\\s*(\\d+)`).exec(tail)?.[1]);
  if (prompt === undefined || answer === undefined) return undefined;
  return Number(prompt) + Number(answer) - Number(cached ?? "0");
}
