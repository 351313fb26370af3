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
} from "./weighed_schemes.ts";
import { summarize, type Summary } from "./summary.ts";

/** Names of the spreading schemes that are compared. */
export const schemeNames = ["rotating", "interest", "mesh", "relays"] as const;

/** Name of a spreading scheme. */
export type SchemeName = typeof schemeNames[number];

/** What goes wrong during a run. */
export type Fault = "none" | "loss" | "cut";

/** One run. */
export type MembershipCase = {
  scheme: SchemeName;
  routers: number;
  sidecars: number;
  fault: Fault;
  seed: number;
};

/** What one run showed. */
export type MembershipResult = MembershipCase & {
  members: number;
  ownPeriodMs: number;
  sentBytesPerSecond: Summary;
  receivedBytesPerSecond: Summary;
  crossDomainShare: number;
  /** Age of the runners' records that routers hold. */
  ageMs: Summary;
  /** Relative difference of the pool means that routers hold to the true. */
  meanErrorRatio: Summary;
  /** Time until a router knows a leaving runner. */
  leavingMs: Summary;
  /** Time until a router has a new runner as candidate. */
  joiningMs: Summary;
  /** Time until a member holds a declaration that one process got. */
  versionMs: Summary;
};

const limits: MembershipLimits = {
  digestPeriodMs: 1000,
  budgetBytesPerSecond: 11_000,
  staleAfterMs: 10_000,
  holdDownMs: 1000,
  maximumHoldDownMs: 60_000,
};

/** Mesh and relays are measured by what they would need. */
const unlimitedBytesPerSecond = 1e9;

const lossRatio = 0.2;
const failureDomains = 4;
const largestPoolSize = 33;

/** A full mesh of a thousand members takes minutes to play a second. */
const largeMeshMembers = 500;

type Spans = { warmUpMs: number; sampleSeconds: number };

const usualSpans: Spans = { warmUpMs: 15_000, sampleSeconds: 10 };
const largeMeshSpans: Spans = { warmUpMs: 3000, sampleSeconds: 3 };
const cutMs = 10_000;
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
  const spans = getSpans(options);
  fleet.advance(spans.warmUpMs);
  if (options.fault === "cut") cutDomains(fleet);
  const traffic = measureTraffic(fleet, spans.sampleSeconds);
  const [router] = fleet.routers;
  return {
    ...options,
    members: fleet.members.length,
    ownPeriodMs: Math.round(getPublishPeriodMs(router.spreader)),
    ...traffic,
    leavingMs: measureLeaving(fleet),
    joiningMs: measureJoining(fleet, getPools(options)),
    versionMs: measureVersion(fleet),
  };
}

function getSpans({ routers, scheme, sidecars }: MembershipCase): Spans {
  const isLarge = routers + sidecars > largeMeshMembers;
  return scheme === "mesh" && isLarge ? largeMeshSpans : usualSpans;
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

/** Cuts one failure domain off for a while, then heals. */
function cutDomains(fleet: DigestFleet): void {
  fleet.isCut = (left, right) =>
    left !== right &&
    (left === "domain-0" || right === "domain-0");
  fleet.advance(cutMs);
  fleet.isCut = () => false;
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
    sent: member.spreader.budget.sentBytes,
    received: member.receivedBytes,
  };
}

const sampledRouters = 16;

function listAges(fleet: DigestFleet): number[] {
  return fleet.routers.slice(0, sampledRouters).flatMap(({ spreader }) =>
    [...spreader.tables.runners.rows()].map((runner) =>
      fleet.nowMs - runner.observedAtMs
    )
  );
}

function listMeanErrors(fleet: DigestFleet): number[] {
  const [first] = fleet.sidecars;
  const pool = first.identity.runner?.pools[0] ?? "";
  const loads = fleet.sidecars
    .filter(({ identity }) => identity.runner?.pools[0] === pool)
    .map(({ spreader }) => spreader.loadTokens);
  const actual = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  return fleet.routers.slice(0, sampledRouters).map(({ spreader }) => {
    const mean = getPoolMean(spreader.tables.runners.rows(), {
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
  setOwnLeaving(leaving.spreader);
  const wireId = getWireId(leaving.identity);
  return measureSpread(
    fleet,
    fleet.routers,
    (member) =>
      member.spreader.tables.members.get(wireId)?.record.isLeaving === true,
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
  return measureSpread(
    fleet,
    fleet.routers,
    ({ spreader }) => spreader.tables.runners.get(id)?.state === "active",
  );
}

/** One process got the declaration before the platform went down. */
function measureVersion(fleet: DigestFleet): Summary {
  const version = 7;
  fleet.setVersion(fleet.routers[0], version);
  return measureSpread(
    fleet,
    fleet.members,
    (member) => member.spreader.configurationVersion >= version,
  );
}

/** Steps until all members meet a condition; gives the time of each. */
function measureSpread(
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
