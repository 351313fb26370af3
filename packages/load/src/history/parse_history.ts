import { AppError } from "@jasminetide/core/results";
import { eventSchema, type HistoryEvent } from "./events.ts";

/**
 * Parses one line of a history.
 *
 * @throws AppError `invalidMessage` with the line number.
 */
export function parseEvent(line: string, lineNumber: number): HistoryEvent {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch (error) {
    throw AppError.create(
      "invalidMessage",
      `Line ${lineNumber} is not valid JSON`,
      { cause: error },
    );
  }
  const result = eventSchema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  throw AppError.create(
    "invalidMessage",
    `Line ${lineNumber} is not a valid event: ${faults.join("; ")}`,
  );
}

/** Parses a whole history and skips empty lines. */
export function parseHistory(text: string): HistoryEvent[] {
  return text.split("\n").flatMap((line, index) =>
    line.trim() === "" ? [] : [parseEvent(line, index + 1)]
  );
}
