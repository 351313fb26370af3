/** The seeded schedule of an episode's faults. */
import type { RandomSource } from "@jasminetide/core/random";
import type { EpisodeSwitches } from "./episode_switches.ts";
import { limitMs } from "./soak_runner.ts";
import { drawDomainFaults } from "./domain_faults.ts";
import {
  type FaultKind,
  fleetFaultKinds,
  type FleetSize,
  gatewayFaultKinds,
  isRunnerFault,
  isServiceFault,
  peerFaultKinds,
  type PlannedFault,
  runnerFaultKinds,
  rushFaultKinds,
  separateFleetFaultKinds,
  separateRunnerFaultKinds,
  serviceFaultKinds,
} from "./fault_kinds.ts";

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
/** Chance of requests with a part that crashes runners. */
const crashingPartChance = 0.5;
/** Long enough for five crashes and for what must hold from 6 s after them. */
const crashingFault: PlannedFault = {
  kind: "prompt-crashing",
  target: 0,
  startMs: 4000,
  durationMs: 16_000,
};
/** Chance of rounds in which runners fall silent. */
const silenceChance = 0.7;

/** Chance of a request that crashes runners. */
const crashingRequestChance = 0.4;
/** Long enough for three crashes and for what must hold from 3 s after them. */
const crashingRequestFault: PlannedFault = {
  kind: "request-crashing",
  target: 0,
  startMs: 5000,
  durationMs: 14_000,
};
/** Chance that some runners state a limit. */
const limitChance = 0.5;
const maxLimitedRunners = 2;
const limitStarts = { smallestMs: 2500, rangeMs: 6000 };

/** Chance that links between gateways fail. */
const peerFaultChance = 0.6;
const maxPeerFaults = 3;

/** Chance that callers rush to gateways that have little processor time. */
const rushChance = 0.5;
const maxRushes = 2;
const rushMs = 2500;

/** Chance that domains are evacuated or return cold, where nothing crashes. */
const domainFaultChance = 0.9;

/** Options of the draw. */
export type DrawOptions =
  & FleetSize
  & Pick<
    EpisodeSwitches,
    | "hasCrashingPart"
    | "hasCrashingRequest"
    | "hasDomainFaults"
    | "hasPeerFaults"
    | "hasRushes"
    | "hasStatedLimits"
  >;

/** Draws the faults of an episode, sorted by start time. */
export function drawFaults(
  random: RandomSource,
  {
    hasCrashingPart,
    hasCrashingRequest,
    hasDomainFaults,
    hasPeerFaults,
    hasRushes,
    hasStatedLimits,
    ...size
  }: DrawOptions,
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
  const crashes = random.getFloat() < crashingPartChance;
  if (hasCrashingPart && crashes) faults.push(crashingFault);
  const areLimited = random.getFloat() < limitChance;
  if (hasStatedLimits && areLimited) faults.push(...drawLimits(random, size));
  const isSent = random.getFloat() < crashingRequestChance;
  if (hasCrashingRequest && isSent) faults.push(crashingRequestFault);
  const areCut = random.getFloat() < peerFaultChance;
  if (hasPeerFaults && areCut) faults.push(...drawPeerFaults(random, size));
  const areRushed = random.getFloat() < rushChance;
  if (hasRushes && areRushed) faults.push(...drawRushes(random, size));
  // Beside crashes, a service may have no runner that may get requests.
  const hasCrashes = faults.some(({ kind }) => kind.endsWith("-crashing"));
  const areMoved = !hasCrashes && random.getFloat() < domainFaultChance;
  if (hasDomainFaults && areMoved) {
    const starts = { fromMs: firstFaultMs, toMs: faultWindowMs };
    faults.push(...drawDomainFaults(random, { ...size, ...starts }));
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

/** Draws faults of links between gateways; they may overlap. */
function drawPeerFaults(random: RandomSource, size: FleetSize): PlannedFault[] {
  const count = 1 + random.getInteger(maxPeerFaults);
  return Array.from(
    { length: count },
    () => drawFault(random, { ...size, kinds: peerFaultKinds }),
  );
}

/** Draws rushes of callers; they may overlap. */
function drawRushes(random: RandomSource, size: FleetSize): PlannedFault[] {
  const count = 1 + random.getInteger(maxRushes);
  return Array.from({ length: count }, () => ({
    ...drawFault(random, { ...size, kinds: rushFaultKinds }),
    durationMs: rushMs,
  }));
}

/** Draws runners that state a limit from about the same time on. */
function drawLimits(random: RandomSource, size: FleetSize): PlannedFault[] {
  const count = 1 +
    random.getInteger(Math.min(size.runners, maxLimitedRunners));
  const first = random.getInteger(size.runners);
  return Array.from({ length: count }, (_, index) => ({
    kind: "runner-limited" as const,
    target: (first + index) % size.runners,
    startMs: limitStarts.smallestMs + random.getInteger(limitStarts.rangeMs),
    durationMs: limitMs,
  }));
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
