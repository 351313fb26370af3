import { createHash } from "node:crypto";
import type { RoutesDocument } from "@jasminetide/core/routes";
import {
  compareTrees,
  createKeyedTree,
  type LocatedChange,
  type Tree,
} from "./compare.ts";

/**
 * Compares two versions of the routes of gateways; entries are matched by name,
 * and API keys by their hashes.
 */
export function compareRoutes(
  before: RoutesDocument,
  after: RoutesDocument,
): LocatedChange[] {
  return compareTrees(createRoutesTree(before), createRoutesTree(after));
}

function createRoutesTree(document: RoutesDocument): Tree {
  const { callerLimits, routes, services = [], workspaces } = document;
  // Gateways know only the services that have limits.
  const limited = services.filter(({ coldPerSecond }) =>
    coldPerSecond !== undefined
  );
  return {
    callerLimits,
    routes: createKeyedTree(routes, ({ name }) => name),
    services: createKeyedTree(limited, ({ name }) => name),
    ...(workspaces === undefined ? {} : {
      workspaces: createKeyedTree(
        workspaces.map((workspace) => ({
          ...workspace,
          apiKeys: workspace.apiKeys.map(hashKey),
        })),
        ({ name }) => name,
      ),
    }),
  };
}

function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
