import { randomUUID } from "node:crypto";
import {
  type Duty,
  formatLease,
  type Lease,
  parseLease,
} from "@jasminetide/core/leases";
import type { ObjectName, PlatformClient } from "../platform/mod.ts";

/** Gets the object of a duty's lease. */
export function getLeaseObject(duty: Duty): ObjectName {
  return { kind: "lease", name: duty };
}

/**
 * Learns the fencing number of a duty. The read may be stale, so it is
 * confirmed by a conditional write of the same lease.
 *
 * @throws AppError `versionConflict` when the read was stale, and
 * `platformUnavailable`.
 */
export async function learnFencingNumber(
  platform: PlatformClient,
  duty: Duty,
): Promise<number> {
  const object = getLeaseObject(duty);
  const stored = await platform.get(object);
  const lease: Lease = stored === undefined
    ? { fencingNumber: 0, attempt: randomUUID() }
    : parseLease(stored.value);
  await platform.put(object, {
    value: formatLease(lease),
    condition: stored === undefined ? "absent" : { version: stored.version },
  });
  return lease.fencingNumber;
}
