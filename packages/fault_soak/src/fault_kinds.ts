/** Kinds of faults and what they affect. */
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

/** Requests that crash runners, drawn last and only when switched on. */
export const crashFaultKinds = ["prompt-crashing"] as const;

/** One request that crashes runners, sent again and again, drawn last. */
export const requestFaultKinds = ["request-crashing"] as const;

/** Runners that state a limit on their requests, drawn last. */
export const limitFaultKinds = ["runner-limited"] as const;

/** Faults of the link by which other gateways reach one, drawn last. */
export const peerFaultKinds = [
  "peer-link-delayed",
  "peer-link-reset",
  "peer-link-silent",
  "peer-link-one-way",
] as const;

/** Little processor time for a gateway while callers rush to it, drawn last. */
export const rushFaultKinds = ["gateway-rushed"] as const;

/** Evacuations of a failure domain, drawn last. */
export const evacuationFaultKinds = ["domain-evacuated"] as const;

/** Runners that are killed and come back cold, a failure domain at once. */
export const coldFaultKinds = ["runner-cold"] as const;

/** Every kind of fault. */
export const faultKinds = [
  ...gatewayFaultKinds,
  ...runnerFaultKinds,
  ...fleetFaultKinds,
  ...serviceFaultKinds,
  ...separateFleetFaultKinds,
  ...separateRunnerFaultKinds,
  ...silenceFaultKinds,
  ...crashFaultKinds,
  ...limitFaultKinds,
  ...requestFaultKinds,
  ...peerFaultKinds,
  ...rushFaultKinds,
  ...evacuationFaultKinds,
  ...coldFaultKinds,
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A planned fault; its times are relative to the start of the episode. */
export type PlannedFault = {
  kind: FaultKind;
  /**
   * Index of the gateway, runner or failure domain; unused by faults of the
   * fleet.
   */
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

/** Whether a fault affects one runner. */
export function isRunnerFault(kind: FaultKind): boolean {
  return [
    ...runnerFaultKinds,
    ...separateRunnerFaultKinds,
    ...silenceFaultKinds,
    ...limitFaultKinds,
    ...coldFaultKinds,
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

/** Whether a fault affects all runners of a failure domain. */
export function isDomainFault(kind: FaultKind): boolean {
  return [...evacuationFaultKinds, ...coldFaultKinds]
    .some((known) => known === kind);
}
