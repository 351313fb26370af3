import { mix32 } from "@jasminetide/core/hashing";
import { createSeededRandom } from "@jasminetide/core/random";
import type { Scenario } from "../scenario/mod.ts";
import { type Arrival, drawArrivals } from "./arrivals.ts";

/**
 * Draws the arrivals of all mixes in order of their due times, until the
 * scenario's time is over. The same scenario gives the same arrivals.
 */
export function* mergeArrivals(scenario: Scenario): Generator<Arrival> {
  const endMs = scenario.durationSeconds * 1000;
  const sources = scenario.mixes.map((mix, index) => {
    const random = createSeededRandom(mix32(scenario.seed, index));
    const arrivals = drawArrivals(mix, random);
    return { arrivals, next: arrivals.next().value };
  });
  for (;;) {
    const first = sources.reduce((best, source) =>
      source.next.dueMs < best.next.dueMs ? source : best
    );
    if (first.next.dueMs >= endMs) return;
    yield first.next;
    first.next = first.arrivals.next().value;
  }
}

/** Counts the requests of an arrival. */
export function countRequests(arrival: Arrival): number {
  switch (arrival.kind) {
    case "chat":
      return arrival.turns.length;
    case "lookup":
      return 1;
    case "money":
      return arrival.hasKey ? arrival.sendings : 1;
  }
}
