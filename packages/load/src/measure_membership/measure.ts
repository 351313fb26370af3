import {
  createRotatingScheme,
  getPoolMean,
  getPublishPeriodMs,
  getWireId,
  type GossipScheme,
  type MembershipLimits,
  publishRatio,
  publishTokens,
  setOwnLeaving,
} from "@jasminetide/core/membership";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { createIdentity, DigestFleet, stepMs } from "./digest_fleet.ts";
import {
  createInterestScheme,
  createMeshScheme,
  createRelayScheme,
} from "./alternative_schemes.ts";
import { summarize, type Summary } from "./summary.ts";

/** Names of the gossip schemes that are compared. */
export const schemeNames = ["rotating", "interest", "mesh", "relays"] as const;

/** Name of a gossip scheme. */
export type SchemeName = typeof schemeNames[number];

/** Network fault of a run: lost datagrams or a partitioned failure domain. */
export type Fault = "none" | "loss" | "cut";

/** Parameters of one run. */
export type MembershipCase = {
  scheme: SchemeName;
  routers: number;
  sidecars: number;
  fault: Fault;
  seed: number;
};

/** Parameters and figures of one run. */
export type MembershipResult = MembershipCase & {
  members: number;
  /** Minimum time between two loads that a process publishes. */
  ownPeriodMs: number;
  sentBytesPerSecond: Summary;
  receivedBytesPerSecond: Summary;
  crossDomainShare: number;
  /** Age of the routers' records of runners. */
  ageMs: Summary;
  /** Relative error of the mean load of a pool in the routers. */
  meanErrorRatio: Summary;
  /** Time until a router has received that a runner is leaving. */
  leavingMs: Summary;
  /** Time until a new runner is a candidate in a router. */
  joiningMs: Summary;
  /** Time until a member has a declaration that one process received. */
  versionMs: Summary;
};

const limits: MembershipLimits = {
  digestPeriodMs: 1000,
  budgetBytesPerSecond: 11_000,
  staleAfterMs: 10_000,
  holdDownMs: 1000,
  maximumHoldDownMs: 60_000,
};

/** Budget of mesh and relays, which measures the bytes that they require. */
const unlimitedBytesPerSecond = 1e9;

const lossRatio = 0.2;
const failureDomains = 4;
const largestPoolSize = 33;

/**
 * Size above which a mesh runs for a shorter time: with a thousand members one
 * virtual second takes minutes.
 */
const largeMeshMembers = 500;

type RunDurations = { warmUpMs: number; sampleSeconds: number };

const defaultDurations: RunDurations = { warmUpMs: 15_000, sampleSeconds: 10 };
const largeMeshDurations: RunDurations = { warmUpMs: 3000, sampleSeconds: 3 };
/** Duration of the partition with the fault `cut`. */
const cutMs = 10_000;
/** Time after which a change counts as not received. */
const eventLimitMs = 15_000;

const schemes: {
  [name in SchemeName]: (random: RandomSource) => GossipScheme;
} = {
  interest: createInterestScheme,
  rotating: createRotatingScheme,
  mesh: createMeshScheme,
  relays: createRelayScheme,
};

/** Measures one scheme at one size under one fault. */
export function measureMembership(options: MembershipCase): MembershipResult {
  const fleet = createFleet(options);
  const durations = getDurations(options);
  fleet.advance(durations.warmUpMs);
  if (options.fault === "cut") cutOffDomain(fleet);
  const traffic = measureTraffic(fleet, durations.sampleSeconds);
  const [router] = fleet.routers;
  return {
    ...options,
    members: fleet.members.length,
    ownPeriodMs: Math.round(getPublishPeriodMs(router.gossip)),
    ...traffic,
    leavingMs: measureLeaving(fleet),
    joiningMs: measureJoining(fleet, getPools(options)),
    versionMs: measureVersion(fleet),
  };
}

function getDurations(
  { routers, scheme, sidecars }: MembershipCase,
): RunDurations {
  const isLarge = routers + sidecars > largeMeshMembers;
  return scheme === "mesh" && isLarge ? largeMeshDurations : defaultDurations;
}

function createFleet(options: MembershipCase): DigestFleet {
  return DigestFleet.create({
    routers: options.routers,
    sidecars: options.sidecars,
    failureDomains,
    pools: getPools(options),
    limits: options.scheme === "rotating" || options.scheme === "interest"
      ? limits
      : { ...limits, budgetBytesPerSecond: unlimitedBytesPerSecond },
    random: createSeededRandom(options.seed),
    createScheme: schemes[options.scheme],
    lossRatio: options.fault === "loss" ? lossRatio : 0,
  });
}

function getPools(options: MembershipCase): number {
  return Math.max(1, Math.round(options.sidecars / largestPoolSize));
}

/** Partitions one failure domain for `cutMs`. */
function cutOffDomain(fleet: DigestFleet): void {
  fleet.isPartitioned = (left, right) =>
    left !== right &&
    (left === "domain-0" || right === "domain-0");
  fleet.advance(cutMs);
  fleet.isPartitioned = () => false;
}

function measureTraffic(fleet: DigestFleet, sampleSeconds: number) {
  const ages: number[] = [];
  const errors: number[] = [];
  const before = fleet.members.map(readCounters);
  const crossBefore = fleet.crossDomainBytes;
  for (let second = 0; second < sampleSeconds; second++) {
    fleet.advance(1000);
    ages.push(...listAges(fleet));
    errors.push(...listMeanErrors(fleet));
  }
  const sent = fleet.members.map((member, index) =>
    (readCounters(member).sent - before[index].sent) / sampleSeconds
  );
  const received = fleet.members.map((member, index) =>
    (readCounters(member).received - before[index].received) / sampleSeconds
  );
  const total = sent.reduce((sum, bytes) => sum + bytes, 0) * sampleSeconds;
  return {
    sentBytesPerSecond: summarize(sent),
    receivedBytesPerSecond: summarize(received),
    crossDomainShare: (fleet.crossDomainBytes - crossBefore) / total,
    ageMs: summarize(ages),
    meanErrorRatio: summarize(errors, { digits: 4 }),
  };
}

function readCounters(member: DigestFleet["members"][number]) {
  return {
    sent: member.gossip.budget.sentBytes,
    received: member.receivedBytes,
  };
}

const sampledRouters = 16;

function listAges(fleet: DigestFleet): number[] {
  return fleet.routers.slice(0, sampledRouters).flatMap((
    { gossip },
  ) =>
    [...gossip.tables.runners.rows()].map((runner) =>
      fleet.nowMs - runner.observedAtMs
    )
  );
}

function listMeanErrors(fleet: DigestFleet): number[] {
  const [first] = fleet.sidecars;
  const pool = first.identity.runner?.pools[0] ?? "";
  const loads = fleet.sidecars
    .filter(({ identity }) => identity.runner?.pools[0] === pool)
    .map(({ gossip }) => gossip.loadTokens);
  const actual = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  return fleet.routers.slice(0, sampledRouters).map(({ gossip }) => {
    const mean = getPoolMean(gossip.tables.runners.rows(), {
      pools: [pool],
      nowMs: fleet.nowMs,
      staleAfterMs: limits.staleAfterMs,
      publishRatio,
      publishTokens,
    });
    return Math.abs(mean.tokens - actual) / actual;
  });
}

function measureLeaving(fleet: DigestFleet): Summary {
  const leaving = fleet.sidecars[1];
  setOwnLeaving(leaving.gossip);
  const wireId = getWireId(leaving.identity);
  return measurePropagation(
    fleet,
    fleet.routers,
    (member) =>
      member.gossip.tables.members.get(wireId)?.record.isLeaving === true,
  );
}

function measureJoining(fleet: DigestFleet, pools: number): Summary {
  const identity = createIdentity(fleet.sidecars.length, {
    type: "sidecar",
    failureDomains,
    pools,
  });
  const known = fleet.members.map((member) => member.identity);
  fleet.add(identity, known);
  const id = identity.runner?.id ?? "";
  return measurePropagation(
    fleet,
    fleet.routers,
    ({ gossip }) => gossip.tables.runners.get(id)?.state === "active",
  );
}

/** Measures a declaration that only one process fetched from the platform. */
function measureVersion(fleet: DigestFleet): Summary {
  const version = 7;
  fleet.setVersion(fleet.routers[0], version);
  return measurePropagation(
    fleet,
    fleet.members,
    (member) => member.gossip.configurationVersion >= version,
  );
}

/** Measures the time until each member meets a condition. */
function measurePropagation(
  fleet: DigestFleet,
  members: DigestFleet["members"],
  isMet: (member: DigestFleet["members"][number]) => boolean,
): Summary {
  const beginMs = fleet.nowMs;
  const times: number[] = [];
  let waiting = members;
  while (waiting.length > 0 && fleet.nowMs - beginMs < eventLimitMs) {
    const elapsedMs = fleet.nowMs - beginMs;
    waiting = waiting.filter((member) => {
      if (!isMet(member)) return true;
      times.push(elapsedMs);
      return false;
    });
    if (waiting.length > 0) fleet.advance(stepMs);
  }
  for (const _member of waiting) times.push(Number.POSITIVE_INFINITY);
  return summarize(times);
}
