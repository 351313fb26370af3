/** One log line of a process, as far as a trace reads it. */
export type TraceLine = {
  timestamp: string;
  process: string;
  event: string;
  /** All other fields. */
  fields: { [name: string]: unknown };
};

/** The story of one request: its own lines and the beliefs behind them. */
export type RequestStory = {
  attemptId: string;
  lines: TraceLine[];
};

/** Events that change what a process believes about the whole fleet. */
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
 * Finds the lines of a request in logs of several processes, and before them
 * the last line of each kind by which the processes came to their beliefs.
 */
export function traceRequest(
  logLines: Iterable<string>,
  attemptId: string,
): RequestStory {
  const all = [...logLines].flatMap(parseLine)
    .sort((a, b) => a.timestamp.localeCompare(b.timestamp));
  const own = all.filter(({ fields }) => fields.attemptId === attemptId);
  const beliefs = own.length === 0 ? [] : findBeliefs(all, own);
  return { attemptId, lines: [...beliefs, ...own] };
}

function findBeliefs(
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

/** Parses a line; what stands before the JSON, and other text, is left out. */
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
    // Lines of other programs may stand between ours.
    return [];
  }
}

const commonFields = ["event", "level", "message", "process", "timestamp"];
