import type { StorePosition } from "./position.ts";

/** Revisions of one epoch; above what a store writes in many years. */
const revisionsPerEpoch = 2 ** 40;

/**
 * Encodes a position as one integer that is ordered as positions are, for
 * formats that hold an integer. In the first epoch it is the revision itself.
 */
export function encodePosition({ epoch, revision }: StorePosition): number {
  return epoch * revisionsPerEpoch + revision;
}

/** Decodes an integer of `encodePosition`. */
export function decodePosition(version: number): StorePosition {
  return {
    epoch: Math.floor(version / revisionsPerEpoch),
    revision: version % revisionsPerEpoch,
  };
}
