import { hash32, mix32 } from "@jasminetide/core/hashing";

/**
 * Chooses the gateways that collect the crashes under one request, by
 * rendezvous hashing (Thaler and Ravishankar, 1998): all gateways choose nearly
 * the same ones, so that single crashes seen by different gateways meet there.
 *
 * @param requestKey key of the request.
 * @param addresses addresses of the other gateways.
 */
export function chooseCollectors(
  requestKey: string,
  addresses: readonly string[],
): string[] {
  const key = hash32(requestKey);
  const weights = new Map(
    addresses.map((address) => [address, mix32(key, hash32(address))]),
  );
  const weigh = (address: string) => weights.get(address) ?? 0;
  return addresses
    .toSorted((left, right) => weigh(right) - weigh(left))
    .slice(0, collectorCount);
}

/** Several, so that one may fail, and since each gateway leaves itself out. */
const collectorCount = 3;
