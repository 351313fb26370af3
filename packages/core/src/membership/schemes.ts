import { hash32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { MemberRow, MembershipTables } from "./tables.ts";

/** How soon a record is passed on. */
export type Urgency = "load" | "state";

/** Where a record came from. */
export type RecordOrigin = "own" | "received";

/** What a round carries: urgent records, loads, or one record again. */
export type RoundPurpose = Urgency | "refresh";

/** Decides to whom digests go and how often each record does. */
export type SpreadingScheme = {
  /** Chooses the receivers of one round. */
  choosePeers: (
    tables: MembershipTables,
    purpose: RoundPurpose,
  ) => MemberRow[];
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
export const fanout = 3;

/** Rounds beyond the logarithm of the members for records of state. */
const extraStateRounds = 2;

/**
 * Each round goes to a few peers from a shuffled rotation, so that every peer
 * has its turn. Records are passed on by those who hear them for the first
 * time (rumour mongering, Demers et al., 1987).
 */
export function createRotatingScheme(random: RandomSource): SpreadingScheme {
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
 * Selects the members of a failure domain that rank first by hash, so that all
 * choose the same without an election.
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

/** Gets the rounds after which a record has reached nearly all. */
export function getStateRounds(tables: MembershipTables): number {
  const members = tables.members.size;
  return Math.ceil(Math.log(members) / Math.log(fanout + 1)) +
    extraStateRounds;
}

/** Lists all members but this process. */
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

/** Says whether a member is among the peers of a rotation. */
export type PeerFilter = (
  member: MemberRow,
  tables: MembershipTables,
) => boolean;

/** Takes peers in turn from a shuffled list of those that pass a filter. */
export function createRotation(random: RandomSource, filter: PeerFilter) {
  let rotation: MemberRow[] = [];
  let shuffledSize = 0;
  return (tables: MembershipTables, count: number): MemberRow[] => {
    // A member that joined has its turn among the others, not after them.
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
      // The second list holds all peers, so a third would give no other.
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

/** Lets every member into a rotation. */
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
