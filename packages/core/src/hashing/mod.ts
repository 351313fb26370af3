/** Non-cryptographic hashes for keys and prefixes (xxHash). */
import xxhash from "xxhash-wasm";

export * from "./mix32.ts";
export * from "./router_rank.ts";

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
