import { AppError } from "@jasminetide/core/results";

/** Deeper nesting would overflow the stack of recursive functions. */
const maxDepth = 128;

/**
 * Parses a request body as JSON.
 *
 * @throws AppError `invalidRequest` when it is malformed or nested too deeply.
 */
export function parseJsonBody(body: Uint8Array): unknown {
  const text = new TextDecoder().decode(body);
  checkDepth(text);
  try {
    return JSON.parse(text);
  } catch (error) {
    throw AppError.create("invalidRequest", "Body is not valid JSON", {
      cause: error,
    });
  }
}

/** Counts brackets outside of strings; the text need not be valid JSON. */
function checkDepth(text: string): void {
  let depth = 0;
  let isString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (isString) {
      if (character === "\\") index += 1;
      else if (character === '"') isString = false;
      continue;
    }
    if (character === '"') isString = true;
    else if (character === "{" || character === "[") depth += 1;
    else if (character === "}" || character === "]") depth -= 1;
    if (depth > maxDepth) {
      throw AppError.create(
        "invalidRequest",
        `Body is nested deeper than ${maxDepth} levels`,
      );
    }
  }
}
