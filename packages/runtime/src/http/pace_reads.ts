import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { getReadCost, ReadScheduler } from "../clock/mod.ts";

/** Shares the event loop among the bodies that this process reads. */
const bodyReads = ReadScheduler.create();

/**
 * Reads the body of a message no faster than its share of the event loop allows:
 * its socket is paused while the work of a turn is used up.
 */
export function paceReads(message: IncomingMessage, reads = bodyReads): void {
  const { socket } = message;
  let isPaused = false;
  /** Cost since reading was last resumed, which a further read is taken for. */
  let readCost = 0;
  message.on("data", (piece: Buffer) => {
    const cost = getReadCost(piece.length, 1);
    readCost += cost;
    reads.recordWork(cost);
    if (isPaused || reads.hasCapacity) return;
    isPaused = true;
    socket.pause();
    reads.defer(() => {
      reads.recordWork(readCost);
      readCost = 0;
      isPaused = false;
      socket.resume();
    });
  });
}
