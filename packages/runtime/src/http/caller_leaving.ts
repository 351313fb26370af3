/** Whether and when a caller closes its connection. */
import type { Socket } from "node:net";

/** Whether the end of a caller's connection was read. */
export function hasCallerLeft(socket: Socket): boolean {
  return socket.readableEnded || socket.destroyed;
}

/**
 * Subscribes to the end of a caller's connection, which is read before the
 * response to the caller emits `close`.
 */
export function subscribeToLeaving(
  socket: Socket,
  onLeaving: () => void,
): Disposable {
  socket.once("end", onLeaving);
  socket.once("close", onLeaving);
  return {
    [Symbol.dispose]: () => {
      socket.off("end", onLeaving);
      socket.off("close", onLeaving);
    },
  };
}
