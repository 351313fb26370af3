import { chooseEngine, choosePlainRunner } from "@jasminetide/core/pools";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallerRequest } from "../protocol.ts";
import type { Upstream } from "../upstreams/mod.ts";

/** Where an attempt goes. */
export type Placement = {
  upstream: Upstream;
  /** `ip:port` of an engine that may hold the shared part of the prompt. */
  cacheSource: string | undefined;
};

/** What is known of a request before an attempt is placed. */
export type PlacementOptions = {
  caller: CallerRequest;
  service: string;
  /** Runners that were tried before. */
  tried: ReadonlySet<string>;
  /** Whether the last of them refused for want of room. */
  wasRefused: boolean;
};

/** Places an attempt; undefined when there is no runner worth a try. */
export function placeAttempt(
  options: PlacementOptions,
  context: GatewayContext,
): Placement | undefined {
  const { caller, service, tried, wasRefused } = options;
  const all = context.directory.listReady(service);
  const untried = all.filter(({ id }) => !tried.has(id));
  // A runner that has just refused has no room a moment later.
  if (untried.length === 0 && wasRefused) return undefined;
  const runners = untried.length > 0 ? untried : all;
  const home = getHome(caller);
  return home === undefined
    ? placePlain(runners, context)
    : placeOnEngine(runners, context, home);
}

function placePlain(
  runners: readonly Upstream[],
  context: GatewayContext,
): Placement | undefined {
  const { failureDomain, random, timers } = context;
  const upstream = choosePlainRunner(runners, {
    nowMs: timers.nowMs(),
    random,
    failureDomain,
  });
  return upstream && { upstream, cacheSource: undefined };
}

function placeOnEngine(
  runners: readonly Upstream[],
  context: GatewayContext,
  home: Home,
): Placement | undefined {
  const { holders, timers } = context;
  const nowMs = timers.nowMs();
  const held = holders.getHolders(home.homeKey, nowMs);
  const choice = chooseEngine(runners, {
    ...home,
    nowMs,
    holders: held,
  });
  if (choice === undefined) return undefined;
  const source = choice.isHolder
    ? undefined
    : findLiveHolder(held, context) ?? choice.otherHome;
  holders.record(home.homeKey, choice.runner.id, nowMs);
  return { upstream: choice.runner, cacheSource: source?.record.address };
}

/** Finds an engine that holds the shared part, a draining one too. */
function findLiveHolder(
  held: ReadonlySet<string>,
  { directory, timers }: GatewayContext,
): Upstream | undefined {
  for (const id of held) {
    const upstream = directory.find(id);
    if (upstream?.health.isAvoided(timers.nowMs()) === false) return upstream;
  }
  return undefined;
}

type Home = { homeKey: string; sharedTokens: number };

/**
 * Finds the part of a prompt that decides which engine is its home: the last
 * that is shared with other requests. The very last belongs to the request.
 */
function getHome({ prompt }: CallerRequest): Home | undefined {
  const shared = prompt.length > 1 ? prompt.slice(0, -1) : prompt;
  const homeKey = shared.at(-1)?.id;
  if (homeKey === undefined) return undefined;
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  return { homeKey, sharedTokens };
}
