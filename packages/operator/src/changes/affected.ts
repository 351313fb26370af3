/** How many entries of a document a change affects. */
import type { RoutesDocument } from "@jasminetide/core/routes";
import type { Change, LocatedChange } from "./compare.ts";

/** Number of entries of each kind that a change affects. */
export type Affected = {
  workspaces: number;
  routes: number;
  /** Services and models. */
  services: number;
};

/** A change and how many entries it affects. */
export type RankedChange = Change & { affected: Affected };

/** Two versions of a document. */
export type Versions<Body> = { before: Body; after: Body };

/** Affects no entry as a whole. */
export const nobody: Affected = { workspaces: 0, routes: 0, services: 0 };

/**
 * Orders changes by the number of entries that they affect, most first; equal
 * numbers by workspaces, then by routes.
 */
export function rankChanges(
  changes: readonly LocatedChange[],
  countAffected: (keys: readonly string[]) => Affected,
): RankedChange[] {
  return changes
    .map(({ change, keys }) => ({ ...change, affected: countAffected(keys) }))
    .sort((left, right) => compareAffected(left.affected, right.affected));
}

function compareAffected(left: Affected, right: Affected): number {
  return getTotal(right) - getTotal(left) ||
    right.workspaces - left.workspaces || right.routes - left.routes;
}

function getTotal({ routes, services, workspaces }: Affected): number {
  return workspaces + routes + services;
}

/** Formats who is affected, such as `3 workspaces, 1 service`. */
export function formatAffected(affected: Affected): string {
  const parts = Object.entries(affected).flatMap(([kind, count]) =>
    count === 0 ? [] : [`${count} ${count === 1 ? kind.slice(0, -1) : kind}`]
  );
  return parts.length === 0 ? "-" : parts.join(", ");
}

/** Creates a function that counts who is affected by changes of routes. */
export function createRouteCounter(
  { after, before }: Versions<RoutesDocument>,
): (keys: readonly string[]) => Affected {
  const routes = [...before.routes, ...after.routes];
  const workspaces = [...before.workspaces ?? [], ...after.workspaces ?? []];
  const all = {
    workspaces: countNames(workspaces),
    routes: countNames(routes),
    services: 0,
  };
  return ([list, name]) => {
    if (list === "callerLimits") return all;
    if (name === undefined) return { ...nobody, workspaces: all.workspaces };
    if (list === "workspaces") return { ...nobody, workspaces: 1 };
    if (list === "routes") return { ...nobody, routes: 1 };
    const users = routes.filter(({ services }) =>
      services.some(({ service, weight }) => service === name && weight > 0)
    );
    return { ...nobody, routes: countNames(users), services: 1 };
  };
}

function countNames(entries: readonly { name: string }[]): number {
  return new Set(entries.map(({ name }) => name)).size;
}
