import type { Buffer } from "node:buffer";

/** Where a stream goes on after it was broken off. */
export type StreamPosition = {
  /** Id of the last event that the caller has. */
  lastEventId: string;
  /** Whether this router relayed it in the same answer to the caller. */
  isSameAnswer: boolean;
};

/** How the first events of a stream relate to a position. */
export type EventOrder =
  /** They go on there. */
  | "follows"
  /** They do not go on there. */
  | "misplaced"
  /** There is no event among them. */
  | "none";

/**
 * Checks whether events go on at a position. Ids of events increase, so the first
 * one needs a later id. It may lack an id only where the caller, and not this
 * router, joins the parts of the stream.
 *
 * @param events whole events, or the rest of a stream.
 */
export function checkContinuation(
  events: Buffer,
  { isSameAnswer, lastEventId }: StreamPosition,
): EventOrder {
  const first = findFirstEvent(events);
  if (first === undefined) return "none";
  if (first.id === undefined) return isSameAnswer ? "misplaced" : "follows";
  return isLaterId(first.id, lastEventId) ? "follows" : "misplaced";
}

/** Whether there is more than comments among the bytes. */
export function hasEvent(events: Buffer): boolean {
  return findFirstEvent(events) !== undefined;
}

/** Finds the first block of lines that is more than comments and retry times. */
function findFirstEvent(
  events: Buffer,
): { id: string | undefined } | undefined {
  const lines = events.toString("latin1").split(/\r?\n/);
  const begin = lines.findIndex((line) => !neutralLine.test(line));
  if (begin < 0) return undefined;
  const rest = lines.slice(begin);
  const end = rest.indexOf("");
  const event = end < 0 ? rest : rest.slice(0, end);
  const ids = event.flatMap((line) => idLine.exec(line)?.[1] ?? []);
  return { id: ids.at(-1) };
}

/** An empty line, a comment or the time until a caller connects again. */
const neutralLine = /^($|:|retry:)/;

const idLine = /^id: ?(.*)$/;

function isLaterId(id: string, lastId: string): boolean {
  const areNumbers = [id, lastId].every((each) => /^\d+$/.test(each));
  return areNumbers ? BigInt(id) > BigInt(lastId) : id !== lastId;
}
