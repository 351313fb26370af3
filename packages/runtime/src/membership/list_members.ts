import {
  createRecord,
  isLeaving,
  type MembershipTables,
} from "@jasminetide/core/membership";
import type { RandomSource } from "@jasminetide/core/random";
import type { KnownMember } from "../control/mod.ts";

/** A router that is alive and not leaving. */
export type LiveRouter = {
  name: string;
  epoch: number;
  /** `ip:port` for peers. */
  controlAddress: string;
};

/** Lists the routers that are alive and not leaving. */
export function listLiveRouters(tables: MembershipTables): LiveRouter[] {
  return [...tables.members.rows()]
    .filter((row) => row.identity.type === "router" && !isLeaving(row))
    .map(({ identity, record }) => ({
      name: identity.name,
      controlAddress: identity.controlAddress,
      epoch: record.epoch,
    }));
}

/** Lists the control addresses of the other live routers in random order. */
export function listOtherRouters(
  tables: MembershipTables,
  random: RandomSource,
): string[] {
  const { controlAddress: own } = tables.self.identity;
  return listLiveRouters(tables)
    .filter(({ controlAddress }) => controlAddress !== own)
    .map(({ controlAddress }) => ({ controlAddress, order: random.getFloat() }))
    .sort((left, right) => left.order - right.order)
    .map(({ controlAddress }) => controlAddress);
}

/** Lists the members with their records, for a process that is starting. */
export function listKnownMembers(
  tables: MembershipTables,
  nowMs: number,
): KnownMember[] {
  return [...tables.members.rows()].map((member) => ({
    identity: member.identity,
    record: {
      ...createRecord(member, nowMs),
      identitySequence: member.identitySequence,
    },
  }));
}
