/** Gossip schemes that are compared with the rotating scheme. */
import {
  createRotation,
  fanout,
  getStateRounds,
  type GossipScheme,
  isAnyPeer,
  listPeers,
  type MemberRow,
  type MembershipTables,
  selectByHash,
} from "@jasminetide/core/membership";
import type { RandomSource } from "@jasminetide/core/random";

const relaysPerDomain = 2;

/**
 * Like the rotating scheme, but sends loads only to the members that use them:
 * to routers, and from a sidecar to the sidecars that share a pool with it.
 */
export function createInterestScheme(random: RandomSource): GossipScheme {
  const chooseAny = createRotation(random, isAnyPeer);
  const chooseRouter = createRotation(random, isRouter);
  const choosePoolMate = createRotation(random, isPoolMate);
  const chooseForLoad = (tables: MembershipTables) =>
    isRouter(tables.self)
      ? chooseRouter(tables, fanout)
      : [...chooseRouter(tables, 2), ...choosePoolMate(tables, 2)];
  return {
    choosePeers: (tables, purpose) => {
      if (purpose === "load") return chooseForLoad(tables);
      return chooseAny(tables, purpose === "refresh" ? 1 : fanout);
    },
    getRounds: (tables, _origin, urgency) =>
      urgency === "load" ? 1 : getStateRounds(tables),
    getCopies: () => fanout,
  };
}

/** Every member sends its own record to every other. */
export function createMeshScheme(random: RandomSource): GossipScheme {
  const chooseAny = createRotation(random, isAnyPeer);
  return {
    choosePeers: (tables, purpose) =>
      purpose === "refresh" ? chooseAny(tables, 1) : listPeers(tables),
    getRounds: (_tables, origin, urgency) => {
      if (origin === "received") return 0;
      return urgency === "load" ? 1 : 2;
    },
    getCopies: (tables) => tables.members.size,
  };
}

/**
 * Members send their own record to the relays of their failure domain; relays
 * forward it to their domain and to the relays of the other domains. Relays
 * are chosen by hash, without an election.
 */
export function createRelayScheme(random: RandomSource): GossipScheme {
  const chooseAny = createRotation(random, isAnyPeer);
  let isRelay = false;
  return {
    choosePeers: (tables, purpose) => {
      if (purpose === "refresh") return chooseAny(tables, 1);
      const relays = listRelays(tables, getDomain(tables.self));
      isRelay = relays.includes(tables.self);
      return isRelay ? chooseRelayPeers(tables) : relays;
    },
    getRounds: (_tables, origin, urgency) => {
      if (origin === "received" && !isRelay) return 0;
      return urgency === "load" ? 1 : 2;
    },
    getCopies: (tables) => tables.members.size,
  };
}

function chooseRelayPeers(tables: MembershipTables): MemberRow[] {
  const own = getDomain(tables.self);
  const domains = new Set([...tables.members.rows()].map(getDomain));
  const others = [...domains].filter((domain) => domain !== own)
    .flatMap((domain) => listRelays(tables, domain));
  const local = listPeers(tables).filter((member) => getDomain(member) === own);
  return [...local, ...others];
}

function isRouter(member: MemberRow): boolean {
  return member.identity.type === "router";
}

function isPoolMate(member: MemberRow, tables: MembershipTables): boolean {
  const own = tables.self.identity.runner?.pools ?? [];
  return member.identity.runner?.pools.some((pool) => own.includes(pool)) ===
    true;
}

function listRelays(
  tables: MembershipTables,
  failureDomain: string,
): MemberRow[] {
  return selectByHash(tables, failureDomain, relaysPerDomain);
}

function getDomain(member: MemberRow): string {
  return member.identity.failureDomain;
}
