import type { ColdLimitUse } from "@jasminetide/core/limits";
import {
  chooseCopySource,
  chooseEngine,
  choosePlainRunner,
  chooseRunnerInTime,
} from "@jasminetide/core/pools";
import type { GatewayContext } from "../gateway_context.ts";
import { type CallerRequest, listSharedParts } from "../protocol.ts";
import type { Upstream } from "../upstreams/mod.ts";

/** Runner chosen for an attempt. */
export type Placement = {
  upstream: Upstream;
  /** `ip:port` of an engine that may hold the prompt's shared prefix. */
  cacheSource: string | undefined;
  /** Shared prefix of the prompt that decided the choice, if there is one. */
  prefixId: string | undefined;
};

/** Properties of a request that decide where an attempt is placed. */
export type PlacementOptions = {
  caller: CallerRequest;
  service: string;
  /** Time aimed at for the answer, or for a stream's first event. */
  goalMs: number;
  /** Software version that the runner must have; any if undefined. */
  softwareVersion: string | undefined;
  /** Ids of the runners that were tried before. */
  triedIds: ReadonlySet<string>;
  /** Whether runners that were tried before may be chosen if all were. */
  mayReturn: boolean;
  /** Whether a runner may be chosen where the request waits, if all are full. */
  mayQueue: boolean;
};

/**
 * Learns from other gateways which engines hold the prefix of a prompt; resolves
 * at once if it has none, and soon in any case.
 */
export async function learnHolders(
  caller: CallerRequest,
  { prefixOwners }: Pick<GatewayContext, "prefixOwners">,
): Promise<void> {
  const home = getHome(caller);
  if (home !== undefined) await prefixOwners.learn(home.prefixId);
}

/** Chooses a runner for an attempt; undefined when there is none to try. */
export function placeAttempt(
  options: PlacementOptions,
  context: GatewayContext,
): Placement | undefined {
  const { caller, mayReturn, service, softwareVersion, triedIds } = options;
  const nowMs = context.timers.nowMs();
  const all = context.directory.listReady(service)
    .filter((upstream) =>
      (softwareVersion === undefined ||
        upstream.record.softwareVersion === softwareVersion) &&
      upstream.availability.isAvailable(nowMs) &&
      isWithinLimits(upstream, context)
    );
  const untried = all.filter(({ id }) => !triedIds.has(id));
  if (untried.length === 0 && !mayReturn) return undefined;
  const runners = untried.length > 0 ? untried : all;
  const home = getHome(caller);
  return home === undefined
    ? placePlain(runners, context, options)
    : placeOnEngine(runners, context, { ...options, home });
}

/**
 * Gets the time until the first runner of a service accepts a request of this
 * router, after the pauses and limits that runners have stated. It is 0 if one
 * accepts requests now, or if none is expected to.
 */
export function getRunnerWaitMs(
  service: string,
  context: LimitContext & Pick<GatewayContext, "directory">,
): number {
  const nowMs = context.timers.nowMs();
  const waitsMs = context.directory.listReady(service)
    .filter(({ availability }) => !availability.isLeaving)
    .map((upstream) =>
      Math.max(
        upstream.availability.getPauseLeftMs(nowMs),
        getLimitWaitMs(upstream, context),
      )
    )
    .filter(Number.isFinite);
  return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
}

/** Parts of the context on which the limits of runners depend. */
type LimitContext = Pick<
  GatewayContext,
  "getKnownRouters" | "getRoutes" | "timers"
>;

/** Whether the limits of a runner allow a request; counts it if it is cold. */
function isWithinLimits(upstream: Upstream, context: GatewayContext): boolean {
  if (getLimitWaitMs(upstream, context) === 0) return true;
  const { cold } = upstream.availability;
  const isCold = cold.getLeftMs(context.timers.nowMs()) > 0;
  if (isCold) context.metrics.countKeptFromCold();
  return false;
}

/**
 * Records that an attempt is sent now, after it has waited for a connection;
 * false if its runner may get it no more.
 */
export function trySend(
  upstream: Upstream,
  { placedAtMs }: { placedAtMs: number },
  context: LimitContext & Pick<GatewayContext, "directory">,
): boolean {
  const use = createLimitUse(upstream, context);
  return context.directory.isReady(upstream) &&
    upstream.availability.trySend(placedAtMs, use);
}

/** Gets the time until the limits of a runner allow a request; 0 if they do. */
function getLimitWaitMs(upstream: Upstream, context: LimitContext): number {
  const use = createLimitUse(upstream, context);
  return upstream.availability.getLimitWaitMs(use);
}

function createLimitUse(
  { idHash, record }: Upstream,
  { getKnownRouters, getRoutes, timers }: LimitContext,
): ColdLimitUse {
  return {
    nowMs: timers.nowMs(),
    runnerHash: idHash,
    sharers: getKnownRouters(),
    perSecond: getRoutes()?.findService(record.service)?.coldPerSecond,
  };
}

function placePlain(
  runners: readonly Upstream[],
  context: GatewayContext,
  { goalMs, mayQueue, service }: PlacementOptions,
): Placement | undefined {
  const { failureDomain, random, timers } = context;
  const nowMs = timers.nowMs();
  const choice = { nowMs, random, failureDomain };
  const serviceMs = context.services.getServiceTime(service).getMs({
    goalMs,
    nowMs,
  });
  const upstream = mayQueue || !context.limitsWait
    ? choosePlainRunner(runners, choice)
    : chooseRunnerInTime(runners, { ...choice, goalMs, serviceMs });
  if (upstream === undefined && runners.length > 0) {
    context.metrics.countKeptFromQueues();
  }
  return upstream &&
    { upstream, cacheSource: undefined, prefixId: undefined };
}

function placeOnEngine(
  runners: readonly Upstream[],
  context: GatewayContext,
  options: PlacementOptions & { home: Home },
): Placement | undefined {
  const { home, mayQueue, service, triedIds } = options;
  const { directory, holders, prefixOwners, timers } = context;
  const nowMs = timers.nowMs();
  const held = holders.getHolders(home.prefixId, nowMs);
  const choice = chooseEngine(runners, {
    ...home,
    nowMs,
    holders: held,
    mayQueue,
  });
  if (choice === undefined) return undefined;
  const source = choice.isHolder ? undefined : findLiveHolder(held, context) ??
    chooseCopySource(
      directory.listSources(service).filter(({ id }) => !triedIds.has(id)),
      { nowMs, prefixId: home.prefixId, copierId: choice.runner.id },
    );
  prefixOwners.record(home.prefixId, choice.runner);
  return {
    upstream: choice.runner,
    cacheSource: source?.record.address,
    prefixId: home.prefixId,
  };
}

/** Finds a holder of the prefix that is not avoided; it may be draining. */
function findLiveHolder(
  held: ReadonlySet<string>,
  { directory, timers }: GatewayContext,
): Upstream | undefined {
  for (const id of held) {
    const upstream = directory.find(id);
    if (upstream === undefined || directory.isEvacuated(upstream)) continue;
    if (!upstream.health.isAvoided(timers.nowMs())) return upstream;
  }
  return undefined;
}

/** Prefix that decides the home of a prompt, and its length. */
type Home = { prefixId: string; sharedTokens: number };

/**
 * Finds the shared prefix that decides which engine is a prompt's home: all
 * parts but the last, which belongs to this request alone. A single part counts
 * as shared.
 */
function getHome({ prompt }: CallerRequest): Home | undefined {
  const shared = prompt.length > 1 ? listSharedParts(prompt) : prompt;
  const prefixId = shared.at(-1)?.id;
  if (prefixId === undefined) return undefined;
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  return { prefixId, sharedTokens };
}
