/** One parsed log line of a process. */
export type TraceLine = {
  timestamp: string;
  process: string;
  event: string;
  /** Remaining fields, without the level and message. */
  fields: { [name: string]: unknown };
};

/** Log lines of one request, after the state changes that preceded them. */
export type RequestTrace = {
  attemptId: string;
  lines: TraceLine[];
};

/** Events that change the state that a process holds of the fleet. */
const fleetEvents = new Set([
  "declaration-applied",
  "store-lost",
  "store-regained",
  "news-from-peer",
  "gateways-known",
  "ready",
  "leaving",
  "gateway-started",
]);

/**
 * Finds the lines of a request in the logs of several processes. They are
 * preceded by the last line of each event that changed the state which those
 * processes held of the fleet and of the request's runners.
 */
export function traceRequest(
  logLines: Iterable<string>,
  attemptId: string,
): RequestTrace {
  const all = [...logLines].flatMap(parseLine)
    .sort((a, b) => a.timestamp.localeCompare(b.timestamp));
  const own = all.filter(({ fields }) => fields.attemptId === attemptId);
  const changes = own.length === 0 ? [] : findStateChanges(all, own);
  return { attemptId, lines: [...changes, ...own] };
}

function findStateChanges(
  all: readonly TraceLine[],
  own: readonly TraceLine[],
): TraceLine[] {
  const processes = new Set(own.map(({ process }) => process));
  const runners = new Set(own.map(({ fields }) => fields.runner));
  const endedAt = own.at(-1)?.timestamp ?? "";
  const last = new Map<string, TraceLine>();
  for (const line of all) {
    if (line.timestamp > endedAt || !processes.has(line.process)) continue;
    const { runner } = line.fields;
    const isOfRunner = line.event.startsWith("runner-") && runners.has(runner);
    if (!isOfRunner && !fleetEvents.has(line.event)) continue;
    last.set(`${line.process} ${line.event} ${runner ?? ""}`, line);
  }
  return [...last.values()]
    .sort((a, b) => a.timestamp.localeCompare(b.timestamp));
}

/** Parses a line from its first brace; lines without JSON are skipped. */
function parseLine(text: string): TraceLine[] {
  const begin = text.indexOf("{");
  if (begin < 0) return [];
  try {
    const fields = JSON.parse(text.slice(begin));
    const { event, process, timestamp } = fields;
    for (const name of commonFields) delete fields[name];
    if (typeof event !== "string" || typeof timestamp !== "string") return [];
    return [{ event, process: String(process), timestamp, fields }];
  } catch {
    // Logs may also contain lines of other programs.
    return [];
  }
}

const commonFields = ["event", "level", "message", "process", "timestamp"];
