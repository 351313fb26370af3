/** What a connection waits for that is up to its caller. */
export type ConnectionHold = {
  /**
   * `silent`: no request has arrived; `body`: a part of one is missing;
   * `unread`: the caller does not read its answer; `idle`: the last answer was
   * read; `pipelined`: requests wait for one that is under way.
   */
  type: "silent" | "body" | "unread" | "idle" | "pipelined";
  sinceMs: number;
};

/** A connection that waits for its caller. */
export type HeldConnection = {
  hold: ConnectionHold;
  /** Connections from the address of its caller. */
  connectionsOfAddress: number;
};

/**
 * Chooses which connection gives way to a new one: first those whose callers owe
 * something for a second, then idle ones, then the others, pipelined ones last.
 * Among equals the longest hold gives way, and counts once for each connection
 * of the same address, so that one address is bounded before all are.
 *
 * @returns undefined if there is none to choose from.
 */
export function chooseConnectionToClose<Held extends HeldConnection>(
  connections: Iterable<Held>,
  nowMs: number,
): Held | undefined {
  let chosen: { held: Held; rank: number; weight: number } | undefined;
  for (const held of connections) {
    const heldMs = nowMs - held.hold.sinceMs;
    const rank = getRank(held.hold, heldMs);
    const weight = heldMs * held.connectionsOfAddress;
    if (
      chosen === undefined || rank < chosen.rank ||
      (rank === chosen.rank && weight > chosen.weight)
    ) {
      chosen = { held, rank, weight };
    }
  }
  return chosen?.held;
}

function getRank({ type }: ConnectionHold, heldMs: number): number {
  switch (type) {
    case "silent":
    case "body":
    case "unread":
      return heldMs >= usualMs ? 0 : 2;
    case "idle":
      return 1;
    case "pipelined":
      return 3;
  }
}

/** Time within which an ordinary caller sends a request and reads its answer. */
const usualMs = 1000;
