import type { RandomSource } from "@jasminetide/core/random";

/** Faults of one gateway or of its links to callers and to the store. */
export const gatewayFaultKinds = [
  "gateway-paused",
  "gateway-killed",
  "gateway-stopped",
  "gateway-reloaded",
  "caller-link-delayed",
  "caller-link-reset",
  "caller-link-silent",
  "caller-link-one-way",
  "store-link-delayed",
  "store-link-reset",
  "store-link-silent",
] as const;

/** Faults of one runner or of the link to it. */
export const runnerFaultKinds = [
  "runner-paused",
  "runner-killed",
  "runner-leaving",
  "runner-link-delayed",
  "runner-link-reset",
  "runner-link-silent",
  "runner-link-one-way",
] as const;

/** Faults that all gateways share. */
export const fleetFaultKinds = [
  "store-down",
  "store-slow",
  "store-limited",
  "store-loses-answers",
  "store-forgets",
  "declaration-changed",
  "all-killed",
] as const;

/** Faults of all runners that serve what one of them serves. */
export const serviceFaultKinds = ["service-failing"] as const;

/** Every kind of fault. */
export const faultKinds = [
  ...gatewayFaultKinds,
  ...runnerFaultKinds,
  ...fleetFaultKinds,
  ...serviceFaultKinds,
] as const;

/** Kinds of which an episode draws some; the others come on top. */
const commonFaultKinds = faultKinds.filter((kind) => !isServiceFault(kind));

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault as planned; times count from the start of its episode. */
export type PlannedFault = {
  kind: FaultKind;
  /** Which gateway or runner; means nothing for faults of the fleet. */
  target: number;
  startMs: number;
  durationMs: number;
};

/** A fault as it was: until its effects were undone. */
export type FaultSpan = {
  kind: FaultKind;
  target: number;
  startMs: number;
  endMs: number;
};

/** Size of a fleet under test. */
export type FleetSize = { gateways: number; runners: number };

/** Time in which faults begin. */
export const faultWindowMs = 14_000;

const firstFaultMs = 2500;
const durations = { smallestMs: 300, rangeMs: 3500 };
const counts = { smallest: 2, range: 5 };
/** Chance that a fault comes once more, overlapping or soon after. */
const seriesChance = 0.35;
const seriesGapMs = 4000;
/** Chance that the runners of one service fail for a while. */
const serviceFaultChance = 0.35;

/** Draws the faults of an episode, in order of time. */
export function drawFaults(
  random: RandomSource,
  size: FleetSize,
): PlannedFault[] {
  const count = counts.smallest + random.getInteger(counts.range);
  const faults: PlannedFault[] = [];
  for (let index = 0; index < count; index++) {
    const fault = drawFault(random, { ...size, kinds: commonFaultKinds });
    faults.push(fault);
    if (random.getFloat() >= seriesChance) continue;
    const startMs = fault.startMs + random.getInteger(seriesGapMs);
    faults.push({ ...fault, startMs });
  }
  // Drawn last, so that seeds from before this fault keep their schedules.
  if (random.getFloat() < serviceFaultChance) {
    faults.push(drawFault(random, { ...size, kinds: serviceFaultKinds }));
  }
  return faults.sort((left, right) => left.startMs - right.startMs);
}

function drawFault(
  random: RandomSource,
  options: FleetSize & { kinds: readonly FaultKind[] },
): PlannedFault {
  const { gateways, kinds, runners } = options;
  const kind = kinds[random.getInteger(kinds.length)];
  const isOfRunner = isRunnerFault(kind) || isServiceFault(kind);
  const targets = isOfRunner ? runners : gateways;
  return {
    kind,
    target: random.getInteger(targets),
    startMs: firstFaultMs + random.getInteger(faultWindowMs - firstFaultMs),
    durationMs: durations.smallestMs + random.getInteger(durations.rangeMs),
  };
}

/** Whether a fault strikes one runner. */
export function isRunnerFault(kind: FaultKind): boolean {
  return runnerFaultKinds.some((known) => known === kind);
}

/** Whether a fault strikes all runners of a service. */
export function isServiceFault(kind: FaultKind): boolean {
  return serviceFaultKinds.some((known) => known === kind);
}

/** Whether a fault strikes all gateways alike. */
export function isFleetFault(kind: FaultKind): boolean {
  return fleetFaultKinds.some((known) => known === kind);
}
