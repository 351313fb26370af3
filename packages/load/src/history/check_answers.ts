/** Checks that each answer is the caller's own and whole. */
import type { Operation } from "./events.ts";
import type { Call, HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** Checks the answers of all calls. */
export function checkAnswers(index: HistoryIndex): Violation[] {
  return [...index.calls.values()].flatMap((call) => {
    if (call.outcome?.type !== "answered") return [];
    const detail = findAnswerFault(call.operation, call.outcome.answer);
    return detail === undefined
      ? []
      : [{ check: "own-whole-answer" as const, subject: call.id, detail }];
  });
}

function findAnswerFault(
  operation: Call["operation"],
  answer: string,
): string | undefined {
  switch (operation.kind) {
    case "chat":
      return findChatFault(operation, answer);
    case "lookup":
      return findFieldFault(answer, { account: operation.account });
    case "money":
      return findFieldFault(answer, {
        account: operation.account,
        refunded: operation.amount,
      });
  }
}

/** The tokens are numbered, so that a gap, a repetition or an end shows. */
function findChatFault(
  operation: Extract<Operation, { kind: "chat" }>,
  answer: string,
): string | undefined {
  const { answerToken, answerTokens } = operation;
  const tokens = answer.split(" ").filter((token) => token !== "");
  const foreign = tokens.find((token) => !token.startsWith(`${answerToken}-`));
  if (foreign !== undefined) return `token "${foreign}" is of another answer`;
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

function findFieldFault(
  answer: string,
  wanted: { [field: string]: string | number },
): string | undefined {
  const value = parseFields(answer);
  if (value === undefined) return "is not a whole JSON object";
  for (const [field, expected] of Object.entries(wanted)) {
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
