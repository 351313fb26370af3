/** Checks that each answer belongs to its call and is complete. */
import type { Operation } from "./events.ts";
import type { Call, HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** Checks the answers of all calls. */
export function checkAnswers(index: HistoryIndex): Violation[] {
  return [...index.calls.values()].flatMap((call) => {
    if (call.outcome?.type !== "answered") return [];
    const detail = findAnswerError(call.operation, call.outcome.answer);
    return detail === undefined
      ? []
      : [{ check: "own-whole-answer" as const, subject: call.id, detail }];
  });
}

function findAnswerError(
  operation: Call["operation"],
  answer: string,
): string | undefined {
  switch (operation.kind) {
    case "chat":
      return findChatError(operation, answer);
    case "lookup":
      return findFieldError(answer, { account: operation.account });
    case "money":
      return findFieldError(answer, {
        account: operation.account,
        refunded: operation.amount,
      });
  }
}

/** Detects gaps, repetitions and truncation by the numbers of the tokens. */
function findChatError(
  operation: Extract<Operation, { kind: "chat" }>,
  answer: string,
): string | undefined {
  const { answerToken, answerTokens } = operation;
  const tokens = answer.split(" ").filter((token) => token !== "");
  const foreign = tokens.find((token) => !token.startsWith(`${answerToken}-`));
  if (foreign !== undefined) {
    return `token "${foreign}" belongs to another answer`;
  }
  const index = tokens.findIndex((token, position) =>
    token !== `${answerToken}-${position}`
  );
  if (index >= 0) {
    return `token ${index} is "${tokens[index]}", a gap or repetition`;
  }
  if (tokens.length !== answerTokens) {
    return `has ${tokens.length} of ${answerTokens} tokens`;
  }
  return undefined;
}

function findFieldError(
  answer: string,
  expectedFields: { [field: string]: string | number },
): string | undefined {
  const value = parseFields(answer);
  if (value === undefined) return "is not a complete JSON object";
  for (const [field, expected] of Object.entries(expectedFields)) {
    if (value[field] !== expected) {
      return `${field} is ${JSON.stringify(value[field])}, ` +
        `expected ${JSON.stringify(expected)}`;
    }
  }
  return undefined;
}

function parseFields(text: string): { [field: string]: unknown } | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? { ...value }
      : undefined;
  } catch {
    return undefined;
  }
}
