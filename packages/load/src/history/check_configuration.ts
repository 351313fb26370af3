import type { EventOf } from "./events.ts";
import type { HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/**
 * Checks that no process goes back to an older configuration. A process that
 * was started again has none until it has loaded one.
 */
export function checkConfigurations(index: HistoryIndex): Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, number>();
  for (const event of sortByTime(index.configurations)) {
    if (event.version === 0) continue;
    const before = highest.get(event.process) ?? 0;
    if (event.version < before) {
      violations.push({
        check: "configuration-never-reverts",
        subject: event.process,
        detail: `went from ${before} to ${event.version} at ${event.atMs} ms`,
      });
    }
    highest.set(event.process, Math.max(before, event.version));
  }
  return violations;
}

/** Events of the same moment keep their order in the file. */
function sortByTime(
  events: readonly EventOf<"configuration">[],
): EventOf<"configuration">[] {
  return [...events].sort((left, right) => left.atMs - right.atMs);
}
