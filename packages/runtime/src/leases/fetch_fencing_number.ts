import { randomUUID } from "node:crypto";
import {
  type Duty,
  formatLease,
  getFencingFloor,
  type Lease,
  parseLease,
} from "@jasminetide/core/leases";
import type { ObjectName, PlatformClient } from "../platform/mod.ts";

/** Gets the name of the platform object that stores a duty's lease. */
export function getLeaseObject(duty: Duty): ObjectName {
  return { kind: "lease", name: duty };
}

/**
 * Fetches the current fencing number of a duty. Reads may be stale, so the
 * number is confirmed by a conditional write of the same lease.
 *
 * @throws AppError `versionConflict` when the read was stale,
 * `platformUnavailable` when the platform does not answer.
 */
export async function fetchFencingNumber(
  platform: PlatformClient,
  duty: Duty,
): Promise<number> {
  const object = getLeaseObject(duty);
  const stored = await platform.get(object);
  const lease: Lease = stored === undefined
    ? { fencingNumber: 0, attempt: randomUUID() }
    : parseLease(stored.value);
  const { epoch } = await platform.put(object, {
    value: formatLease(lease),
    condition: stored === undefined ? "absent" : { position: stored.position },
  });
  // A lease of an earlier epoch is void, and so is any that a restore has lost.
  return Math.max(lease.fencingNumber, getFencingFloor(epoch));
}
