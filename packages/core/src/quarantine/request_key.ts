const prefix = "request:";

/**
 * Formats the key of a whole request, under which it is quarantined like a part
 * of a prompt.
 *
 * @param hash hash of what is the same whenever the request is sent.
 */
export function formatRequestKey(hash: bigint): string {
  return prefix + hash.toString(16);
}

/** Whether an id is the key of a whole request. */
export function isRequestKey(id: string): boolean {
  return id.startsWith(prefix);
}
