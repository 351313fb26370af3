/** Headers that concern one connection and are never passed on (RFC 9110). */
const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Which headers are left out besides those of the connection. */
export type ForwardOptions = { without?: readonly string[] };

/**
 * Keeps the headers of a message that are passed on, as names and values by
 * turns.
 */
export function selectForwarded(
  rawHeaders: readonly string[],
  options: ForwardOptions = {},
): string[] {
  const named = listNamedByConnection(rawHeaders);
  const without = options.without ?? [];
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    if (connectionHeaders.has(name) || named.has(name)) continue;
    if (without.includes(name)) continue;
    kept.push(rawHeaders[index], rawHeaders[index + 1]);
  }
  return kept;
}

/** Headers that the `Connection` header names as its own. */
function listNamedByConnection(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[index + 1].split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}
