import {
  type MembershipTables,
  mergeIdentity,
  mergeRecordWithIdentity,
} from "@jasminetide/core/membership";
import type { KnownMember, PeerClient } from "../control/mod.ts";

/** Maximum number of peers that are queried for the members at the start. */
const maximumQueriedPeers = 3;

/** Peers that are queried for the members, and how to reach them. */
export type LoadMembersOptions = {
  /** Control addresses in the order in which they are queried. */
  addresses: readonly string[];
  getPeer: (controlAddress: string) => PeerClient;
  warn: (event: string, thrown: unknown) => void;
};

/** Queries a few peers in turn for their members until one answers. */
export async function loadMembers(
  options: LoadMembersOptions,
): Promise<KnownMember[]> {
  const { addresses, getPeer, warn } = options;
  for (const address of addresses.slice(0, maximumQueriedPeers)) {
    try {
      return await getPeer(address).getMembers.query();
    } catch (thrown) {
      warn("members-failed", thrown);
    }
  }
  return [];
}

/** Merges the members of a peer into the tables. */
export function mergeKnownMembers(
  tables: MembershipTables,
  known: readonly KnownMember[],
  nowMs: number,
): void {
  for (const { identity, record } of known) {
    if (record.epoch === 0) mergeIdentity(tables, identity);
    else mergeRecordWithIdentity(tables, { identity, record }, nowMs);
  }
}
