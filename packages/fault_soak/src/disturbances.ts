import {
  type FaultKind,
  type FaultSpan,
  isFleetFault,
  peerFaultKinds,
} from "./fault_kinds.ts";

/** A time interval at one gateway. */
export type GatewayInterval = { gateway: number; fromMs: number; toMs: number };

/**
 * Planned operations, pauses and cuts between gateways, during which no request may be lost.
 */
const harmlessKinds: readonly FaultKind[] = [
  "gateway-stopped",
  "gateway-reloaded",
  "runner-leaving",
  "runner-announcing",
  "declaration-changed",
  "runner-silent",
  "domain-evacuated",
  ...peerFaultKinds,
];

/** Faults during which a runner still notices that a connection is closed. */
const respondingKinds: readonly FaultKind[] = [
  "runner-resting",
  "runner-silent",
  "runner-limited",
];

/** Whether any unplanned fault overlaps a time interval. */
export function isUnplannedBetween(
  faults: readonly FaultSpan[],
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some((fault) =>
    !harmlessKinds.includes(fault.kind) && isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether a gateway's process or its links to callers were disturbed. */
export function isGatewayDisturbed(
  faults: readonly FaultSpan[],
  interval: GatewayInterval,
): boolean {
  return faults.some((fault) =>
    (fault.kind === "all-killed" ||
      (/^(gateway|caller-link)-/.test(fault.kind) &&
        fault.kind !== "gateway-reloaded" &&
        fault.target === interval.gateway)) &&
    isOverlapping(fault, interval.fromMs, interval.toMs)
  );
}

/** Whether a gateway's link to its callers was disturbed. */
export function isCallerLinkDisturbed(
  faults: readonly FaultSpan[],
  { fromMs, gateway, toMs }: GatewayInterval,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("caller-link-") && fault.target === gateway &&
    isOverlapping(fault, fromMs, toMs)
  );
}

/**
 * Whether a caller's connection was open while its link was silent; it stays
 * silent afterwards.
 */
export function isConnectionSilenced(
  faults: readonly FaultSpan[],
  { fromMs, gateway, toMs }: GatewayInterval,
): boolean {
  return faults.some((fault) =>
    (fault.kind === "caller-link-silent" ||
      fault.kind === "caller-link-one-way") &&
    fault.target === gateway && isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether a gateway's process was killed. */
export function isGatewayKilled(
  faults: readonly FaultSpan[],
  { fromMs, gateway, toMs }: GatewayInterval,
): boolean {
  return faults.some((fault) =>
    (fault.kind === "all-killed" ||
      (fault.kind === "gateway-killed" && fault.target === gateway)) &&
    isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether a gateway or its access to the store was disturbed. */
export function isStoreAccessDisturbed(
  faults: readonly FaultSpan[],
  interval: GatewayInterval,
): boolean {
  const { fromMs, gateway, toMs } = interval;
  return isGatewayDisturbed(faults, interval) ||
    faults.some((fault) =>
      fault.kind !== "declaration-changed" &&
      (isFleetFault(fault.kind) ||
        (fault.kind.startsWith("store-link-") && fault.target === gateway)) &&
      isOverlapping(fault, fromMs, toMs)
    );
}

/** Whether what other gateways send may not have reached a gateway. */
export function isPeerLinkDisturbed(
  faults: readonly FaultSpan[],
  { fromMs, gateway, toMs }: GatewayInterval,
): boolean {
  return faults.some((fault) =>
    peerFaultKinds.some((kind) => kind === fault.kind) &&
    fault.target === gateway && isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether any runner or link to one was disturbed. */
export function areRunnersDisturbed(
  faults: readonly FaultSpan[],
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("runner-") && !respondingKinds.includes(fault.kind) &&
    isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether requests may have waited on their way to a runner, or in it. */
export function isRunnerHeldUp(
  faults: readonly FaultSpan[],
  { fromMs, index, toMs }: { index: number; fromMs: number; toMs: number },
): boolean {
  return faults.some((fault) =>
    /^runner-(paused|link-)/.test(fault.kind) && fault.target === index &&
    isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether connections of any runner were cut or made silent by their link. */
export function areRunnerLinksCut(
  faults: readonly FaultSpan[],
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("runner-link-") &&
    fault.kind !== "runner-link-delayed" && isOverlapping(fault, fromMs, toMs)
  );
}

function isOverlapping(
  { endMs, startMs }: FaultSpan,
  fromMs: number,
  toMs: number,
): boolean {
  return startMs <= toMs && endMs >= fromMs;
}
