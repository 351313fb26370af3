import { type FaultKind, type FaultSpan, isFleetFault } from "./faults.ts";

/** A stretch of time at one gateway. */
export type Stretch = { gateway: number; fromMs: number; toMs: number };

/** Planned work, under which nothing may be lost. */
const plannedKinds: readonly FaultKind[] = [
  "gateway-stopped",
  "gateway-reloaded",
  "runner-leaving",
  "declaration-changed",
];

/** Whether anything unplanned happened anywhere in a stretch of time. */
export function isUnplannedBetween(
  faults: readonly FaultSpan[],
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some((fault) =>
    !plannedKinds.includes(fault.kind) && isOverlapping(fault, fromMs, toMs)
  );
}

/** Whether a gateway's process or its links to callers were disturbed. */
export function isGatewayDisturbed(
  faults: readonly FaultSpan[],
  stretch: Stretch,
): boolean {
  return faults.some((fault) =>
    (fault.kind === "all-killed" ||
      (/^(gateway|caller-link)-/.test(fault.kind) &&
        fault.kind !== "gateway-reloaded" &&
        fault.target === stretch.gateway)) &&
    isOverlapping(fault, stretch.fromMs, stretch.toMs)
  );
}

/** Whether a gateway may have been out of touch with the store. */
export function isOutOfTouch(
  faults: readonly FaultSpan[],
  stretch: Stretch,
): boolean {
  const { fromMs, gateway, toMs } = stretch;
  return isGatewayDisturbed(faults, stretch) ||
    faults.some((fault) =>
      fault.kind !== "declaration-changed" &&
      (isFleetFault(fault.kind) ||
        (fault.kind.startsWith("store-link-") && fault.target === gateway)) &&
      isOverlapping(fault, fromMs, toMs)
    );
}

/** Whether any runner or link to one was disturbed. */
export function areRunnersDisturbed(
  faults: readonly FaultSpan[],
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("runner-") && isOverlapping(fault, fromMs, toMs)
  );
}

function isOverlapping(
  { endMs, startMs }: FaultSpan,
  fromMs: number,
  toMs: number,
): boolean {
  return startMs <= toMs && endMs >= fromMs;
}
