import * as z from "zod";
import { AppError } from "../results/mod.ts";

const holderSchema = z.object({
  /** Name of the process. */
  name: z.string().min(1),
  /** Identifies one start of the process; a restart loses the lease. */
  epoch: z.number().int().nonnegative(),
  /** `ip:port` at which watchers ping the holder. */
  controlAddress: z.string(),
});

const leaseSchema = z.object({
  /** Absent after the holder released the duty. */
  holder: holderSchema.optional(),
  /** Incremented for each new holder. */
  fencingNumber: z.number().int().nonnegative(),
  /** Shows a writer whether a write without a response took effect. */
  attempt: z.string(),
});

/** A process that holds a duty. */
export type LeaseHolder = z.output<typeof holderSchema>;

/** Holder of a duty, as stored on the platform. */
export type Lease = z.output<typeof leaseSchema>;

/** Name of a task that one process at a time performs for the fleet. */
export type Duty = string;

/** Gets the duty of placing models on the runners of a region. */
export function getPlacementDuty(region: string): Duty {
  return `placement-${region}`;
}

/** Duty of writing the status of the fleet to the platform. */
export const statusDuty: Duty = "status";

/** Formats a lease for the platform. */
export function formatLease(lease: Lease): string {
  return JSON.stringify(lease);
}

/**
 * Parses a lease.
 *
 * @throws AppError `invalidMessage` when the text is not a lease.
 */
export function parseLease(text: string): Lease {
  try {
    return leaseSchema.parse(JSON.parse(text));
  } catch (cause) {
    throw AppError.create("invalidMessage", "Cannot parse lease", { cause });
  }
}

/** Reports whether two holders are the same start of the same process. */
export function isSameHolder(
  left: LeaseHolder | undefined,
  right: LeaseHolder | undefined,
): boolean {
  return left !== undefined && left.name === right?.name &&
    left.epoch === right.epoch;
}
