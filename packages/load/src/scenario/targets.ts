import { BlockList, isIPv6 } from "node:net";
import { AppError } from "@jasminetide/core/results";
import { parseAddress } from "@jasminetide/runtime/settings";
import type { Scenario } from "./schema.ts";

const loopback = new BlockList();
loopback.addSubnet("127.0.0.0", 8, "ipv4");
loopback.addAddress("::1", "ipv6");

/**
 * Checks that all addresses of a scenario are loopback addresses.
 *
 * @throws AppError `invalidSettings` with the first remote address.
 */
export function checkLoopbackTargets(scenario: Scenario): void {
  const { effectAddresses, platformAddress, targets } = scenario;
  const addresses = [...targets, ...effectAddresses, platformAddress];
  for (const address of addresses) {
    if (address === undefined) continue;
    const { ip } = parseAddress(address);
    if (loopback.check(ip, isIPv6(ip) ? "ipv6" : "ipv4")) continue;
    throw AppError.create(
      "invalidSettings",
      `Target ${address} is not on this machine, expected a loopback ` +
        "address or --allow-remote",
    );
  }
}
