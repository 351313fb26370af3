import * as z from "zod";
import { AppError } from "../results/mod.ts";

const holderSchema = z.object({
  /** Name of the process. */
  name: z.string().min(1),
  /** Start of the process; a later start does not hold the lease. */
  epoch: z.number().int().nonnegative(),
  /** `ip:port` at which the holder is asked whether it is alive. */
  controlAddress: z.string(),
});

const leaseSchema = z.object({
  /** Absent after the holder gave the duty back. */
  holder: holderSchema.optional(),
  /** Increases with each holder. */
  fencingNumber: z.number().int().nonnegative(),
  /** Tells a writer whether a write without an answer took effect. */
  attempt: z.string(),
});

/** A process that holds a duty. */
export type LeaseHolder = z.output<typeof holderSchema>;

/** Who holds a duty, as the platform keeps it. */
export type Lease = z.output<typeof leaseSchema>;

/** Name of something that one process does for all. */
export type Duty = string;

/** Gets the duty to place models on the runners of a region. */
export function getPlacementDuty(region: string): Duty {
  return `placement-${region}`;
}

/** Duty to write the status of the fleet back to the platform. */
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
    throw AppError.create("invalidMessage", "Cannot read a lease", { cause });
  }
}

/** Says whether two holders are the same start of the same process. */
export function isSameHolder(
  left: LeaseHolder | undefined,
  right: LeaseHolder | undefined,
): boolean {
  return left !== undefined && left.name === right?.name &&
    left.epoch === right.epoch;
}
