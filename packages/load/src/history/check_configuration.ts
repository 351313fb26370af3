import type { EventOf } from "./events.ts";
import type { HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/**
 * Checks that no process reverts to an older configuration. A restarted process
 * reports version 0 until it has loaded a configuration.
 */
export function checkConfigurations(index: HistoryIndex): Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, number>();
  for (const event of sortByTime(index.configurations)) {
    if (event.version === 0) continue;
    const previous = highest.get(event.process) ?? 0;
    if (event.version < previous) {
      violations.push({
        check: "configuration-never-reverts",
        subject: event.process,
        detail: `went from ${previous} to ${event.version} at ${event.atMs} ms`,
      });
    }
    highest.set(event.process, Math.max(previous, event.version));
  }
  return violations;
}

/** Sorts by time; events with equal times keep their order in the file. */
function sortByTime(
  events: readonly EventOf<"configuration">[],
): EventOf<"configuration">[] {
  return [...events].sort((left, right) => left.atMs - right.atMs);
}
