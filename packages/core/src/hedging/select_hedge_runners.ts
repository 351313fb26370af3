import type { PoolRunner } from "../pools/mod.ts";

/** Why no runner of a service gets a hedge. */
export type NoHedgeRunner =
  /** Half of the other runners or more reported lately that requests wait. */
  | "requests wait"
  /** The runners hold too many requests for extra work. */
  | "service full"
  /** No other runner is sound and has a free slot. */
  | "no sound runner";

/** Runners that may get a hedge, or why none may. */
export type HedgeSelection<Runner> =
  | { type: "runners"; runners: readonly Runner[] }
  | { type: "none"; reason: NoHedgeRunner };

/**
 * Selects the runners that may get a second attempt at a request: sound ones
 * with a free slot, in another failure domain than the late runner if there are
 * any. A queue at the late runner does not count, since the request leaves it.
 */
export function selectHedgeRunners<Runner extends PoolRunner>(
  runners: readonly Runner[],
  { late, nowMs }: {
    late: { readonly id: string; readonly failureDomain: string };
    nowMs: number;
  },
): HedgeSelection<Runner> {
  const others = runners.filter(({ id }) => id !== late.id);
  if (others.length === 0) return { type: "none", reason: "no sound runner" };
  const queues = others.filter(({ load }) => load.hasQueue(nowMs));
  if (queues.length >= others.length * maxQueueShare) {
    return { type: "none", reason: "requests wait" };
  }
  if (getLoadShare(others, nowMs) > maxLoadShare) {
    return { type: "none", reason: "service full" };
  }
  const sound = others.filter(({ health, load, slots }) =>
    !load.hasQueue(nowMs) &&
    !health.isAvoided(nowMs) &&
    health.getFailureShare(nowMs) < maxFailureShare &&
    load.getEstimate(nowMs) < slots
  );
  if (sound.length === 0) return { type: "none", reason: "no sound runner" };
  const elsewhere = sound.filter(({ failureDomain }) =>
    failureDomain !== late.failureDomain
  );
  return { type: "runners", runners: elsewhere.length > 0 ? elsewhere : sound };
}

function getLoadShare(runners: readonly PoolRunner[], nowMs: number): number {
  let held = 0;
  let slots = 0;
  for (const runner of runners) {
    held += runner.load.getEstimate(nowMs);
    slots += runner.slots;
  }
  return held / slots;
}

/** Share of runners with a queue from which extra work would make more. */
const maxQueueShare = 0.5;

/** Share of the slots in use from which a service has no room for extra work. */
const maxLoadShare = 0.7;

/** Share of failed requests from which a runner is not sound. */
const maxFailureShare = 0.3;
