/**
 * Mixes two 32-bit integers into one (the finalizer of MurmurHash3 by Appleby),
 * to score a pair of hashes without hashing the texts again.
 */
export function mix32(left: number, right: number): number {
  let word = left ^ Math.imul(right, 0x9e3779b1);
  word = Math.imul(word ^ (word >>> 16), 0x85ebca6b);
  word = Math.imul(word ^ (word >>> 13), 0xc2b2ae35);
  return (word ^ (word >>> 16)) >>> 0;
}
