/** Non-cryptographic hashes for keys and prefixes (xxHash). */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Hashes text to 32 bits. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** Hashes text to 64 bits. */
export function hash64(text: string, seed = 0n): bigint {
  return hasher.h64(text, seed);
}

/** Hashes bytes to 64 bits. */
export function hashBytes64(bytes: Uint8Array, seed = 0n): bigint {
  return hasher.h64Raw(bytes, seed);
}

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
