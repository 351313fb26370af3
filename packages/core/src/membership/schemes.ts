import { hash32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** How soon a record is sent: with the next load round or the next tick. */
export type Urgency = "load" | "state";

/** Whether a record is this process's own or was received from a peer. */
export type RecordOrigin = "own" | "received";

/** What a round sends: urgent records, loads, or repeated full records. */
export type RoundPurpose = Urgency | "refresh";

/** Determines the peers of each round and how often a record is sent. */
export type GossipScheme = {
  /** Chooses the receivers of one round. */
  choosePeers: (
    tables: MembershipTables,
    purpose: RoundPurpose,
  ) => MemberRow[];
  /** Gets the number of rounds in which a record is sent. */
  getRounds: (
    tables: MembershipTables,
    origin: RecordOrigin,
    urgency: Urgency,
  ) => number;
  /** Gets the average number of copies that a member sends of a load record. */
  getCopies: (tables: MembershipTables) => number;
};

/** Number of peers in one round of the rotating scheme. */
export const fanout = 3;

/** Rounds added to the logarithm of the fleet size for urgent records. */
const extraStateRounds = 2;

/**
 * Creates a scheme in which each round goes to the next few peers of a shuffled
 * rotation, so that every peer has its turn. A member relays a record when it
 * receives it for the first time (rumor mongering, Demers et al., 1987).
 */
export function createRotatingScheme(random: RandomSource): GossipScheme {
  const chooseAny = createRotation(random, isAnyPeer);
  return {
    choosePeers: (tables, purpose) =>
      chooseAny(tables, purpose === "refresh" ? 1 : fanout),
    getRounds: (tables, _origin, urgency) =>
      urgency === "load" ? 1 : getStateRounds(tables),
    getCopies: () => fanout,
  };
}

/**
 * Selects the members of a failure domain that rank first by hash. Processes
 * with the same member list select the same ones without an election.
 */
export function selectByHash(
  tables: MembershipTables,
  failureDomain: string,
  count: number,
): MemberRow[] {
  return [...tables.members.rows()]
    .filter((member) => getDomain(member) === failureDomain)
    .sort((left, right) => getHashScore(left) - getHashScore(right))
    .slice(0, count);
}

/** Gets the number of rounds in which a record reaches nearly all members. */
export function getStateRounds(tables: MembershipTables): number {
  const members = tables.members.size;
  return Math.ceil(Math.log(members) / Math.log(fanout + 1)) +
    extraStateRounds;
}

/** Lists all members except this process. */
export function listPeers(tables: MembershipTables): MemberRow[] {
  return [...tables.members.rows()].filter((row) => row !== tables.self);
}

function getDomain(member: MemberRow): string {
  return member.identity.failureDomain;
}

function getHashScore(member: MemberRow): number {
  return hash32(member.identity.name, rankSeed);
}

const rankSeed = 7;

/** Checks whether a member belongs to the peers of a rotation. */
export type PeerFilter = (
  member: MemberRow,
  tables: MembershipTables,
) => boolean;

/**
 * Creates a function that selects peers in turn from a shuffled list of those
 * that pass a filter.
 */
export function createRotation(random: RandomSource, filter: PeerFilter) {
  let rotation: MemberRow[] = [];
  let shuffledSize = 0;
  return (tables: MembershipTables, count: number): MemberRow[] => {
    // Reshuffles when the number of members changes, so that a new member gets
    // its turn among the others instead of after all of them.
    if (shuffledSize !== tables.members.size) rotation = [];
    shuffledSize = tables.members.size;
    const peers = new Set<MemberRow>();
    let shuffles = 0;
    while (peers.size < count) {
      const peer = rotation.pop();
      if (peer !== undefined) {
        if (tables.members.has(peer.record.wireId)) peers.add(peer);
        continue;
      }
      // Each shuffle holds all peers, so another one cannot add any.
      if (shuffles === 2) break;
      shuffles += 1;
      rotation = shuffle(
        listPeers(tables).filter((member) => filter(member, tables)),
        random,
      );
    }
    return [...peers];
  };
}

/** Accepts every member as a peer of a rotation. */
export function isAnyPeer(): boolean {
  return true;
}

function shuffle(peers: MemberRow[], random: RandomSource): MemberRow[] {
  for (let index = peers.length - 1; index > 0; index--) {
    const other = random.getInteger(index + 1);
    [peers[index], peers[other]] = [peers[other], peers[index]];
  }
  return peers;
}
