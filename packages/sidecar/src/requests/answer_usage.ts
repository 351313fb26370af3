const lineFeed = 10;

/** Finds the usage of an OpenAI-compatible answer near its end. */
export function findComputedTokens(tail: string): number | undefined {
  const [prompt, answer, cached] = [
    "prompt_tokens",
    "completion_tokens",
    "cached_tokens",
  ].map((name) => new RegExp(`"${name}":\\s*(\\d+)`).exec(tail)?.[1]);
  if (prompt === undefined || answer === undefined) return undefined;
  return Number(prompt) + Number(answer) - Number(cached ?? "0");
}

/** Counts the events of a piece of a stream; each ends in an empty line. */
export function countEvents(chunk: Uint8Array): number {
  let count = 0;
  for (let index = 1; index < chunk.length; index += 1) {
    if (chunk[index] === lineFeed && chunk[index - 1] === lineFeed) count += 1;
  }
  return count;
}
