/** Estimated cost of alternatives to the ledger. */
import { encodeSegment, type LedgerEntry } from "@jasminetide/core/ledger";

/** Cost of another way to store idempotency keys. */
export type AlternativeCost = {
  way: string;
  writesPerCall: number;
  bytesPerCall: number;
  /** Writes that a call waits for before its dispatch. */
  writesBeforeDispatch: number;
  /** Objects that a day at 200 calls a second creates. */
  objectsPerDay: number;
};

const callsPerDay = 200 * 86_400;

/** Measures one object for each key, written as intent and then as outcome. */
export function measureObjectPerKey(): AlternativeCost {
  const intent = createEntry("intent");
  const done = createEntry("done");
  return {
    way: "object per key",
    writesPerCall: 2,
    bytesPerCall: encodeSegment({ entries: [intent] }).length +
      encodeSegment({ entries: [done] }).length,
    writesBeforeDispatch: 1,
    objectsPerDay: callsPerDay,
  };
}

/**
 * Measures one object for each actor with its last request ids; older ones are
 * merged into a total (riak-ruby-ledger, approach 2b).
 */
export function measureRequestHistory(options: {
  historyLength: number;
  actors: number;
}): AlternativeCost {
  const ids = Array.from(
    { length: options.historyLength },
    (_, index) => createEntry("done", index),
  ).map(({ key, requestHash }) => [key, requestHash]);
  const bytes = JSON.stringify({ total: 0, requests: ids }).length;
  return {
    way: `request ids by actor, last ${options.historyLength}`,
    writesPerCall: 1,
    bytesPerCall: bytes,
    writesBeforeDispatch: 1,
    objectsPerDay: options.actors,
  };
}

function createEntry(state: "intent" | "done", index = 0): LedgerEntry {
  const body = new TextEncoder().encode(
    '{"account":"a1","refunded":100,"balance":-100}',
  );
  return {
    key: `w 01890a5d-ac96-774b-bcce-${String(index).padStart(12, "0")}`,
    issuedAtMs: 1_000_000,
    requestHash: "0123456789012345678901",
    recordedAtMs: 1_000_000,
    state,
    answer: state === "intent" ? undefined : {
      status: 201,
      headers: { "content-type": "application/json" },
      body,
    },
  };
}
