import type { Configuration } from "../configuration/mod.ts";
import { createFinding, type Finding } from "./finding.ts";

/** The runners of a fleet, as far as their settings are known. */
export type FleetRunners = {
  /** Number of runners that may serve any model. */
  engineCount: number;
  /** Services that a runner serves. */
  services: ReadonlySet<string>;
};

/** Finds models and services for which a fleet has too few runners. */
export function findRunnerFindings(
  { models, services }: Configuration,
  runners: FleetRunners,
): Finding[] {
  const minimum = models.reduce((sum, model) => sum + model.minimumRunners, 0);
  const missing = minimum <= runners.engineCount
    ? []
    : [createFinding("tooFewRunners", {
      path: ["models"],
      text: `The models need ${minimum} runners at least, the fleet has ` +
        String(runners.engineCount),
    })];
  const unserved = services.flatMap(({ name }, index) =>
    runners.services.has(name) ? [] : [createFinding("tooFewRunners", {
      path: ["services", index],
      text: `No runner serves "${name}"`,
    })]
  );
  return [...missing, ...unserved];
}
