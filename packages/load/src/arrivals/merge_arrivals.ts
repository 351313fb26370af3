import { mix32 } from "@jasminetide/core/hashing";
import { createSeededRandom } from "@jasminetide/core/random";
import type { Scenario } from "../scenario/mod.ts";
import { type Arrival, drawArrivals } from "./arrivals.ts";

/**
 * Draws the arrivals of all mixes in order of due time until the scenario's
 * duration has elapsed. The same scenario always yields the same arrivals.
 */
export function* mergeArrivals(scenario: Scenario): Generator<Arrival> {
  const endMs = scenario.durationSeconds * 1000;
  const sources = scenario.mixes.map((mix, index) => {
    const random = createSeededRandom(mix32(scenario.seed, index));
    const arrivals = drawArrivals(mix, random);
    return { arrivals, next: arrivals.next().value };
  });
  for (;;) {
    const earliest = sources.reduce((selected, source) =>
      source.next.dueMs < selected.next.dueMs ? source : selected
    );
    if (earliest.next.dueMs >= endMs) return;
    yield earliest.next;
    earliest.next = earliest.arrivals.next().value;
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
      return arrival.hasKey ? arrival.sendCount : 1;
  }
}
