import { setImmediate } from "node:timers/promises";

/**
 * Waits until the event loop has read from all sockets once more. The end of a
 * connection is read one turn after the data before it, however long both have
 * lain in the kernel and however long a turn takes.
 */
export async function waitForReads(): Promise<void> {
  // The first one ends the turn that reads at present.
  await setImmediate();
  await setImmediate();
}
