import {
  createGossipState,
  createMembershipTables,
  decodeDigest,
  framingBytes,
  type GossipScheme,
  type GossipState,
  type MemberIdentity,
  type MembershipLimits,
  mergeIdentity,
  mergeRecord,
  receiveDigest,
  type SendDigest,
  sendDueDigests,
  setOwnLoad,
  setOwnVersion,
  tickPeriodMs,
} from "@jasminetide/core/membership";
import type { RandomSource } from "@jasminetide/core/random";

/** One process of the fleet: its gossip state and its counters. */
export type FleetMember = {
  identity: MemberIdentity;
  gossip: GossipState;
  /** Offset of the process's ticks within the tick period. */
  phaseMs: number;
  receivedBytes: number;
  isStopped: boolean;
  /** Fetch of a declaration from a peer that is in progress. */
  fetching: { version: number; doneAtMs: number } | undefined;
};

/** Size, limits and network conditions of a fleet. */
export type DigestFleetOptions = {
  routers: number;
  sidecars: number;
  failureDomains: number;
  pools: number;
  limits: MembershipLimits;
  random: RandomSource;
  createScheme: (random: RandomSource) => GossipScheme;
  /** Share of the datagrams that are lost. */
  lossRatio: number;
};

/** Length of a step of the virtual clock. */
export const stepMs = 20;

/**
 * Time to fetch the manifest and a part of a declaration from a peer: two
 * exchanges of two steps each.
 */
const fetchMs = 4 * stepMs;

const startMs = 1_000_000;

const meanTokens = 20_000;

type Delivery = { to: FleetMember; from: FleetMember; bytes: Uint8Array };

/**
 * Runs the membership code of many processes on one virtual clock. A datagram
 * arrives at the next step, unless it is lost or its link is partitioned.
 */
export class DigestFleet {
  readonly members: FleetMember[] = [];
  readonly #options: DigestFleetOptions;
  readonly #byName = new Map<string, FleetMember>();
  #deliveries: Delivery[] = [];
  #nowMs = startMs;
  #crossDomainBytes = 0;
  /** Whether datagrams between two failure domains are dropped. */
  isPartitioned: (left: string, right: string) => boolean = () => false;

  private constructor(options: DigestFleetOptions) {
    this.#options = options;
  }

  /** Creates a fleet in which each process has the records of all others. */
  static create(options: DigestFleetOptions): DigestFleet {
    const fleet = new DigestFleet(options);
    const identities = createIdentities(options);
    for (const identity of identities) fleet.add(identity, identities);
    for (const member of fleet.members) fleet.#mergeFirstRecords(member);
    return fleet;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  get crossDomainBytes(): number {
    return this.#crossDomainBytes;
  }

  get routers(): FleetMember[] {
    return this.members.filter(({ identity }) => identity.type === "router");
  }

  get sidecars(): FleetMember[] {
    return this.members.filter(({ identity }) => identity.type === "sidecar");
  }

  /** Adds a process that has the identities of members, but no records. */
  add(identity: MemberIdentity, listed: MemberIdentity[]): FleetMember {
    const { createScheme, limits, random } = this.#options;
    const tables = createMembershipTables({
      identity,
      epoch: this.#nowMs * 1024 + random.getInteger(1024),
      capacity: 1,
      limits,
      nowMs: this.#nowMs,
    });
    for (const entry of listed) mergeIdentity(tables, entry).isListed = true;
    const member: FleetMember = {
      identity,
      phaseMs: random.getInteger(tickPeriodMs / stepMs) * stepMs,
      receivedBytes: 0,
      isStopped: false,
      fetching: undefined,
      gossip: createGossipState({
        tables,
        scheme: createScheme(random),
        nowMs: this.#nowMs,
        phaseMs: random.getInteger(limits.digestPeriodMs),
      }),
    };
    this.members.push(member);
    this.#byName.set(identity.name, member);
    return member;
  }

  /** Moves the virtual clock forward. */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    while (this.#nowMs < endMs) {
      this.#nowMs += stepMs;
      this.#deliver();
      for (const member of this.members) {
        this.#completeFetch(member);
        if (this.#nowMs % tickPeriodMs === member.phaseMs) this.#tick(member);
      }
    }
  }

  /** Queues a member's digests for delivery at the next step. */
  send(from: FleetMember, commands: SendDigest[]): void {
    for (const { bytes, peer } of commands) {
      const to = this.#byName.get(peer.identity.name);
      if (to === undefined) continue;
      if (to.identity.failureDomain !== from.identity.failureDomain) {
        this.#crossDomainBytes += bytes.length + framingBytes;
      }
      this.#deliveries.push({ to, from, bytes });
    }
  }

  /** Sets the configuration version that a member has. */
  setVersion(member: FleetMember, version: number): void {
    setOwnVersion(member.gossip, version);
  }

  /** Restarts a process, with a higher epoch. */
  restart(member: FleetMember): FleetMember {
    this.members.splice(this.members.indexOf(member), 1);
    member.isStopped = true;
    const listed = this.members.map(({ identity }) => identity);
    return this.add(member.identity, listed);
  }

  #tick(member: FleetMember): void {
    if (member.isStopped) return;
    const { random } = this.#options;
    if (member.identity.type === "sidecar") {
      setOwnLoad(member.gossip, meanTokens * (0.5 + random.getFloat()));
    }
    this.send(member, sendDueDigests(member.gossip, this.#nowMs));
  }

  #deliver(): void {
    const deliveries = this.#deliveries;
    this.#deliveries = [];
    for (const { bytes, from, to } of deliveries) {
      if (to.isStopped || this.#isLost(from, to)) continue;
      to.receivedBytes += bytes.length + framingBytes;
      const digest = decodeDigest(bytes);
      this.#fetch(to, digest.configurationVersion);
      this.send(to, receiveDigest(to.gossip, digest, this.#nowMs));
    }
  }

  /** Starts to fetch a declaration, unless a fetch is in progress. */
  #fetch(member: FleetMember, version: number): void {
    if (version <= member.gossip.configurationVersion) return;
    member.fetching ??= { version, doneAtMs: this.#nowMs + fetchMs };
  }

  #completeFetch(member: FleetMember): void {
    if (member.fetching === undefined) return;
    if (this.#nowMs < member.fetching.doneAtMs) return;
    this.setVersion(member, member.fetching.version);
    member.fetching = undefined;
  }

  #isLost(from: FleetMember, to: FleetMember): boolean {
    const { lossRatio, random } = this.#options;
    return random.getFloat() < lossRatio ||
      this.isPartitioned(
        from.identity.failureDomain,
        to.identity.failureDomain,
      );
  }

  /** Gives a member the first record of each other member. */
  #mergeFirstRecords(member: FleetMember): void {
    const { tables } = member.gossip;
    for (const other of this.members) {
      const { self } = other.gossip.tables;
      mergeRecord(tables, { ...self.record, ageMs: 0 }, this.#nowMs);
    }
    for (const row of tables.members.rows()) {
      row.identityRounds = 0;
      row.isUrgent = false;
      row.roundsLeft = 0;
    }
    tables.pending.clear();
  }
}

function createIdentities(options: DigestFleetOptions): MemberIdentity[] {
  const routers = Array.from(
    { length: options.routers },
    (_, index) => createIdentity(index, { ...options, type: "router" }),
  );
  const sidecars = Array.from(
    { length: options.sidecars },
    (_, index) => createIdentity(index, { ...options, type: "sidecar" }),
  );
  return [...routers, ...sidecars];
}

/** Creates the identity of the process with an index. */
export function createIdentity(
  index: number,
  options: {
    type: "router" | "sidecar";
    failureDomains: number;
    pools: number;
  },
): MemberIdentity {
  const { failureDomains, pools, type } = options;
  const port = (type === "router" ? 20_000 : 30_000) + index;
  const identity: MemberIdentity = {
    type,
    name: `${type}-${index}`,
    host: `host-${type}-${index}`,
    failureDomain: `domain-${index % failureDomains}`,
    region: "region-1",
    controlAddress: `127.0.0.1:${port}`,
  };
  if (type === "router") return identity;
  return {
    ...identity,
    runner: {
      id: `runner-${index}`,
      kind: "engine",
      pools: [`model-${index % pools}`],
      dataAddress: `127.0.0.1:${port + 10_000}`,
    },
  };
}
