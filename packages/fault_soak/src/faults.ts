/** Kinds of faults and the seeded schedule of an episode. */
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

/** Faults that affect all gateways. */
export const fleetFaultKinds = [
  "store-down",
  "store-slow",
  "store-limited",
  "store-loses-answers",
  "store-forgets",
  "declaration-changed",
  "all-killed",
] as const;

/** Faults of the fleet that later episodes draw separately. */
export const separateFleetFaultKinds = ["store-restored"] as const;

/** Faults of one runner that later episodes draw separately. */
export const separateRunnerFaultKinds = [
  "runner-announcing",
  "runner-resting",
] as const;

/** Faults of all runners of the same service as the target. */
export const serviceFaultKinds = ["service-failing"] as const;

/** Pauses of sound runners, drawn in rounds beside changed declarations. */
export const silenceFaultKinds = ["runner-silent"] as const;

/** Every kind of fault. */
export const faultKinds = [
  ...gatewayFaultKinds,
  ...runnerFaultKinds,
  ...fleetFaultKinds,
  ...serviceFaultKinds,
  ...separateFleetFaultKinds,
  ...separateRunnerFaultKinds,
  ...silenceFaultKinds,
] as const;

const separateFaultKinds: readonly FaultKind[] = [
  ...separateFleetFaultKinds,
  ...separateRunnerFaultKinds,
];

/** Kinds that every episode draws from; the others are drawn separately. */
const commonFaultKinds: readonly FaultKind[] = [
  ...gatewayFaultKinds,
  ...runnerFaultKinds,
  ...fleetFaultKinds,
];

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A planned fault; its times are relative to the start of the episode. */
export type PlannedFault = {
  kind: FaultKind;
  /** Index of the gateway or runner; unused by faults of the fleet. */
  target: number;
  startMs: number;
  durationMs: number;
};

/** Time of an injected fault, from its start to the end of its effects. */
export type FaultSpan = {
  kind: FaultKind;
  target: number;
  startMs: number;
  endMs: number;
};

/** Size of a fleet under test. */
export type FleetSize = { gateways: number; runners: number };

/** Time from the start of an episode in which faults may begin. */
export const faultWindowMs = 14_000;

const firstFaultMs = 2500;
const durations = { smallestMs: 300, rangeMs: 3500 };
const counts = { smallest: 2, range: 5 };
/** Chance that a fault occurs a second time, overlapping or soon after. */
const recurrenceChance = 0.35;
const maximumRecurrenceGapMs = 4000;
/** Chance that the runners of one service fail all requests for a time. */
const serviceFaultChance = 0.35;
/** Chance of a fault of the kinds that are drawn separately. */
const separateFaultChance = 0.6;
/** Chance of rounds in which runners fall silent. */
const silenceChance = 0.7;

/** Draws the faults of an episode, sorted by start time. */
export function drawFaults(
  random: RandomSource,
  size: FleetSize,
): PlannedFault[] {
  const count = counts.smallest + random.getInteger(counts.range);
  const faults: PlannedFault[] = [];
  for (let index = 0; index < count; index++) {
    const fault = drawFault(random, { ...size, kinds: commonFaultKinds });
    faults.push(fault);
    if (random.getFloat() >= recurrenceChance) continue;
    const startMs = fault.startMs + random.getInteger(maximumRecurrenceGapMs);
    faults.push({ ...fault, startMs });
  }
  // Drawn last, so that seeds chosen before these kinds were added keep the
  // rest of their schedules.
  if (random.getFloat() < serviceFaultChance) {
    faults.push(drawFault(random, { ...size, kinds: serviceFaultKinds }));
  }
  if (random.getFloat() < separateFaultChance) {
    faults.push(drawFault(random, { ...size, kinds: separateFaultKinds }));
  }
  if (random.getFloat() < silenceChance) {
    faults.push(...drawSilences(random, size));
  }
  return faults.sort((left, right) => left.startMs - right.startMs);
}

function drawFault(
  random: RandomSource,
  options: FleetSize & { kinds: readonly FaultKind[] },
): PlannedFault {
  const { gateways, kinds, runners } = options;
  const kind = kinds[random.getInteger(kinds.length)];
  const targetsRunner = isRunnerFault(kind) || isServiceFault(kind);
  const targets = targetsRunner ? runners : gateways;
  return {
    kind,
    target: random.getInteger(targets),
    startMs: firstFaultMs + random.getInteger(faultWindowMs - firstFaultMs),
    durationMs: durations.smallestMs + random.getInteger(durations.rangeMs),
  };
}

const silenceRounds = { smallest: 2, range: 2 };
/** Keeps two pauses of one runner apart, so that no stream meets both. */
const silencePeriodMs = 5000;
const silenceDurations = { smallestMs: 700, rangeMs: 900 };
/** Runners that fall silent in one round. */
const maxSilentRunners = 4;
const maxSilenceGapMs = 400;
const maxChangeGapMs = 800;

/**
 * Draws rounds in which a declaration changes and some runners fall silent one
 * soon after the other, before or after the change.
 */
function drawSilences(random: RandomSource, size: FleetSize): PlannedFault[] {
  const rounds = silenceRounds.smallest +
    random.getInteger(silenceRounds.range);
  const faults: PlannedFault[] = [];
  for (let round = 0; round < rounds; round++) {
    const changeMs = firstFaultMs + round * silencePeriodMs + maxChangeGapMs;
    faults.push({
      kind: "declaration-changed",
      target: 0,
      startMs: changeMs,
      durationMs: durations.smallestMs,
    });
    faults.push(...drawSilenceRound(random, { changeMs, size }));
  }
  return faults;
}

function drawSilenceRound(
  random: RandomSource,
  { changeMs, size }: { changeMs: number; size: FleetSize },
): PlannedFault[] {
  const count = 1 + random.getInteger(Math.min(size.runners, maxSilentRunners));
  const first = random.getInteger(size.runners);
  let startMs = changeMs - maxChangeGapMs +
    random.getInteger(2 * maxChangeGapMs);
  return Array.from({ length: count }, (_, index) => {
    startMs += random.getInteger(maxSilenceGapMs);
    return {
      kind: "runner-silent" as const,
      target: (first + index) % size.runners,
      startMs,
      durationMs: silenceDurations.smallestMs +
        random.getInteger(silenceDurations.rangeMs),
    };
  });
}

/** Whether a fault affects one runner. */
export function isRunnerFault(kind: FaultKind): boolean {
  return [
    ...runnerFaultKinds,
    ...separateRunnerFaultKinds,
    ...silenceFaultKinds,
  ].some((known) => known === kind);
}

/** Whether a fault affects all runners of a service. */
export function isServiceFault(kind: FaultKind): boolean {
  return serviceFaultKinds.some((known) => known === kind);
}

/** Whether a fault affects all gateways. */
export function isFleetFault(kind: FaultKind): boolean {
  return [...fleetFaultKinds, ...separateFleetFaultKinds]
    .some((known) => known === kind);
}
