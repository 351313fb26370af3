/** An operator's request that the runners of a failure domain get nothing. */
export type Evacuation = { failureDomain: string };

/** Lists the failure domains that are evacuated. */
export function listEvacuatedDomains(
  evacuations: Iterable<Evacuation>,
): ReadonlySet<string> {
  return new Set(
    [...evacuations].map(({ failureDomain }) => failureDomain),
  );
}
