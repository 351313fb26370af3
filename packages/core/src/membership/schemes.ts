import { hash32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** How soon a record is passed on. */
export type Urgency = "load" | "state";

/** Where a record came from. */
export type RecordOrigin = "own" | "received";

/** Decides to whom digests go and how often each record does. */
export type SpreadingScheme = {
  /** Chooses the receivers of one round. */
  choosePeers: (tables: MembershipTables) => MemberRow[];
  /** Gets the rounds in which a record is sent. */
  getRounds: (
    tables: MembershipTables,
    origin: RecordOrigin,
    urgency: Urgency,
  ) => number;
  /** Copies of each load record that one member sends on average. */
  getCopies: (tables: MembershipTables) => number;
};

/** Receivers of one round of the rotating scheme. */
const fanout = 3;

/** Rounds beyond the logarithm of the members for records of state. */
const extraStateRounds = 2;

const relaysPerDomain = 2;

/**
 * Each round goes to a few peers from a shuffled rotation, so that every peer
 * has its turn. Records are passed on by those who hear them for the first
 * time (rumour mongering, Demers et al., 1987).
 */
export function createRotatingScheme(random: RandomSource): SpreadingScheme {
  let rotation: MemberRow[] = [];
  let shuffledSize = 0;
  return {
    choosePeers: (tables) => {
      // A member that joined has its turn among the others, not after them.
      if (shuffledSize !== tables.members.size) rotation = [];
      shuffledSize = tables.members.size;
      const peers = new Set<MemberRow>();
      const wanted = Math.min(fanout, tables.members.size - 1);
      while (peers.size < wanted) {
        if (rotation.length === 0) rotation = shuffleMembers(tables, random);
        const peer = rotation.pop();
        if (peer === undefined) break;
        if (tables.members.has(peer.record.wireId)) peers.add(peer);
      }
      return [...peers];
    },
    getRounds: (tables, _origin, urgency) =>
      urgency === "load" ? 1 : getStateRounds(tables),
    getCopies: () => fanout,
  };
}

/** Every member sends its own record to every other. */
export function createMeshScheme(): SpreadingScheme {
  return {
    choosePeers: (tables) => listPeers(tables),
    getRounds: (_tables, origin, urgency) => {
      if (origin === "received") return 0;
      return urgency === "load" ? 1 : 2;
    },
    getCopies: (tables) => tables.members.size,
  };
}

/**
 * Members send their own record to the relays of their failure domain; relays
 * pass it to their domain and to the relays of the others. Relays are chosen
 * by hash, without an election.
 */
export function createRelayScheme(): SpreadingScheme {
  let isRelay = false;
  return {
    choosePeers: (tables) => {
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

/** Gets the members of a failure domain that rank first by hash. */
export function listRelays(
  tables: MembershipTables,
  failureDomain: string,
  count = relaysPerDomain,
): MemberRow[] {
  return [...tables.members.rows()]
    .filter((member) => getDomain(member) === failureDomain)
    .sort((left, right) => getRelayScore(left) - getRelayScore(right))
    .slice(0, count);
}

function chooseRelayPeers(tables: MembershipTables): MemberRow[] {
  const own = getDomain(tables.self);
  const domains = new Set([...tables.members.rows()].map(getDomain));
  const others = [...domains].filter((domain) => domain !== own)
    .flatMap((domain) => listRelays(tables, domain));
  const local = listPeers(tables).filter((member) => getDomain(member) === own);
  return [...local, ...others];
}

function getStateRounds(tables: MembershipTables): number {
  const members = tables.members.size;
  return Math.ceil(Math.log(members) / Math.log(fanout + 1)) +
    extraStateRounds;
}

function listPeers(tables: MembershipTables): MemberRow[] {
  return [...tables.members.rows()].filter((row) => row !== tables.self);
}

function getDomain(member: MemberRow): string {
  return member.identity.failureDomain;
}

function getRelayScore(member: MemberRow): number {
  return hash32(member.identity.name, relaySeed);
}

const relaySeed = 7;

function shuffleMembers(
  tables: MembershipTables,
  random: RandomSource,
): MemberRow[] {
  const peers = listPeers(tables);
  for (let index = peers.length - 1; index > 0; index--) {
    const other = random.getInteger(index + 1);
    [peers[index], peers[other]] = [peers[other], peers[index]];
  }
  return peers;
}
