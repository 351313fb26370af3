/** Faults of failure domains in the schedule of an episode. */
import type { RandomSource } from "@jasminetide/core/random";
import { isInDomain, soakDomains } from "./failure_domains.ts";
import type { FleetSize, PlannedFault } from "./fault_kinds.ts";

const maxDomainFaults = 3;
/** Long enough for the limit of an evacuation and some time without requests. */
const evacuationDurations = { smallestMs: 4000, rangeMs: 5000 };

/** Draws evacuations and cold returns of failure domains; they may overlap. */
export function drawDomainFaults(
  random: RandomSource,
  { fromMs, toMs, ...size }: FleetSize & { fromMs: number; toMs: number },
): PlannedFault[] {
  const count = 1 + random.getInteger(maxDomainFaults);
  return Array.from({ length: count }, () => {
    const domain = random.getInteger(soakDomains.length);
    const startMs = fromMs + random.getInteger(toMs - fromMs);
    const durationMs = evacuationDurations.smallestMs +
      random.getInteger(evacuationDurations.rangeMs);
    const span = { startMs, durationMs };
    return random.getFloat() < 0.5
      ? [{ kind: "domain-evacuated" as const, target: domain, ...span }]
      : drawColdReturn(domain, { size, ...span });
  }).flat();
}

/** All runners of a failure domain are killed, and come back cold. */
function drawColdReturn(
  domain: number,
  { size, ...span }: Omit<PlannedFault, "kind" | "target"> & {
    size: FleetSize;
  },
): PlannedFault[] {
  return Array.from({ length: size.runners }, (_, target) => target)
    .filter((target) => isInDomain({ index: target }, domain))
    .map((target) => ({ kind: "runner-cold", target, ...span }));
}
