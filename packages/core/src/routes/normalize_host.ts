/** Normalizes a host name, as of a `Host` header: lower case, no port. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
