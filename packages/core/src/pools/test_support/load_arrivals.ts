import { readFileSync } from "node:fs";

/** A recorded request with a prompt. */
export type PromptArrival = {
  atMs: number;
  /** Identifier of the prefix that it shares with other requests. */
  prefixId: string;
  sharedTokens: number;
  ownTokens: number;
  /** Number of events in its answer. */
  events: number;
};

/** A recorded plain request. */
export type CallArrival = { atMs: number; workMs: number };

/** Loads a list of requests with prompts. */
export function loadPrompts(name: string): PromptArrival[] {
  return loadRows<[number, string, number, number, number]>(name).map(
    ([atMs, prefixId, sharedTokens, ownTokens, events]) => ({
      atMs,
      prefixId,
      sharedTokens,
      ownTokens,
      events,
    }),
  );
}

/** Loads a list of plain requests. */
export function loadCalls(name: string): CallArrival[] {
  return loadRows<[number, number]>(name).map(([atMs, workMs]) => ({
    atMs,
    workMs,
  }));
}

function loadRows<Row>(name: string): Row[] {
  const file = `packages/core/src/pools/arrivals/${name}.json`;
  return JSON.parse(readFileSync(file, "utf8"));
}
