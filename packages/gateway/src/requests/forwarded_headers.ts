/** Headers that apply to one connection and are not forwarded (RFC 9110). */
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

/** Headers, in lower case, to leave out besides those of the connection. */
export type ForwardedHeaderOptions = { without?: readonly string[] };

/**
 * Selects the headers of a message that are forwarded, as alternating names and
 * values.
 */
export function selectForwardedHeaders(
  rawHeaders: readonly string[],
  options: ForwardedHeaderOptions = {},
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

/** Headers that the `Connection` header lists as specific to it. */
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
