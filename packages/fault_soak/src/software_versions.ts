/** The software versions of runners whose events are in a stream. */
import type { CallRecord } from "./history.ts";
import type { Finding } from "./call_checks.ts";

/** Lists the versions that the events of a stream name. */
export function listVersions(body: string): string[] {
  const versions = [...body.matchAll(/ (v\d+)\n/g)].map(([, name]) => name);
  return [...new Set(versions)];
}

/** Removes the versions from the events of a stream, which may be cut. */
export function removeVersions(body: string): string {
  return body.replace(/ v\d+\n/g, "\n").replace(/ v\d*$/, "");
}

/** Counts the whole events of a stream. */
export function countEvents(body: string): number {
  return body.split("\n\n").length - 1;
}

/**
 * Finds a stream with events of two software versions, in one answer or over the
 * attempts of its caller. No fault excuses it.
 */
export function findJoinedVersions({ outcome, takeUp }: CallRecord): Finding {
  if (outcome.type !== "answered") return undefined;
  const versions = new Set([
    ...takeUp?.softwareVersions ?? [],
    ...listVersions(outcome.body),
  ]);
  return versions.size > 1
    ? `events of ${[...versions].join(" and ")} in one stream`
    : undefined;
}
