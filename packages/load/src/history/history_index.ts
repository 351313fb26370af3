import type { EventOf, HistoryEvent, Outcome } from "./events.ts";
import type { Violation } from "./violations.ts";

/** A call and its outcome. */
export type Call = {
  id: string;
  operation: EventOf<"invoke">["operation"];
  invokedAtMs: number;
  /** Infinity for a call without an outcome. */
  completedAtMs: number;
  outcome: Outcome | undefined;
};

/** Events of a history, indexed for the checks. */
export type HistoryIndex = {
  calls: Map<string, Call>;
  /** Number of effects by key. */
  effects: Map<string, number>;
  configurations: EventOf<"configuration">[];
  /** Which effects at runners are recorded in the history. */
  knownEffects: EventOf<"header">["effects"];
  /** Violations caused by events that contradict each other. */
  malformed: Violation[];
};

/** Indexes the events of a history, independent of their order in the file. */
export function createHistoryIndex(
  events: Iterable<HistoryEvent>,
): HistoryIndex {
  const index: HistoryIndex = {
    calls: new Map(),
    effects: new Map(),
    configurations: [],
    knownEffects: "none",
    malformed: [],
  };
  const completions: EventOf<"complete">[] = [];
  for (const event of events) {
    if (event.type === "complete") completions.push(event);
    else addEvent(index, event);
  }
  for (const event of completions) addCompletion(index, event);
  return index;
}

function addEvent(
  index: HistoryIndex,
  event: Exclude<HistoryEvent, { type: "complete" }>,
): void {
  switch (event.type) {
    case "header":
      index.knownEffects = event.effects;
      break;
    case "invoke":
      addCall(index, event);
      break;
    case "effect":
      index.effects.set(event.key, (index.effects.get(event.key) ?? 0) + 1);
      break;
    case "configuration":
      index.configurations.push(event);
      break;
  }
}

function addCall(index: HistoryIndex, event: EventOf<"invoke">): void {
  if (index.calls.has(event.id)) {
    addMalformed(index, event.id, "invoked twice");
    return;
  }
  index.calls.set(event.id, {
    id: event.id,
    operation: event.operation,
    invokedAtMs: event.atMs,
    completedAtMs: Infinity,
    outcome: undefined,
  });
}

function addCompletion(index: HistoryIndex, event: EventOf<"complete">): void {
  const call = index.calls.get(event.id);
  if (call === undefined) {
    addMalformed(index, event.id, "completed but never invoked");
  } else if (call.outcome !== undefined) {
    addMalformed(index, event.id, "completed twice");
  } else if (event.atMs < call.invokedAtMs) {
    addMalformed(index, event.id, "completed before it was invoked");
  } else {
    call.completedAtMs = event.atMs;
    call.outcome = event.outcome;
  }
}

function addMalformed(
  index: HistoryIndex,
  subject: string,
  detail: string,
): void {
  index.malformed.push({ check: "well-formed", subject, detail });
}
