import {
  type MembershipTables,
  mergeIdentity,
  mergeRecordWithIdentity,
} from "@jasminetide/core/membership";
import type { KnownMember, PeerClient } from "../control/mod.ts";

/** Peers that are tried for the members at the start. */
const peersAtStart = 3;

/** How peers are asked for what they know. */
export type LoadMembersOptions = {
  /** Control addresses, the first tried first. */
  addresses: readonly string[];
  getPeer: (controlAddress: string) => PeerClient;
  warn: (event: string, thrown: unknown) => void;
};

/** Asks one peer for the members that it knows; more if none answers. */
export async function loadMembers(
  options: LoadMembersOptions,
): Promise<KnownMember[]> {
  const { addresses, getPeer, warn } = options;
  for (const address of addresses.slice(0, peersAtStart)) {
    try {
      return await getPeer(address).getMembers.query();
    } catch (thrown) {
      warn("members-failed", thrown);
    }
  }
  return [];
}

/** Takes in the members that a peer knows. */
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
