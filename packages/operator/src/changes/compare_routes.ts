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
  const hasServices = before.services !== undefined &&
    after.services !== undefined;
  return compareTrees(
    createRoutesTree(before, hasServices),
    createRoutesTree(after, hasServices),
  );
}

function createRoutesTree(
  document: RoutesDocument,
  hasServices: boolean,
): Tree {
  const { callerLimits, routes, services = [], workspaces } = document;
  return {
    callerLimits,
    routes: createKeyedTree(routes, ({ name }) => name),
    ...(workspaces === undefined ? {} : {
      workspaces: createKeyedTree(
        workspaces.map((workspace) => ({
          ...workspace,
          apiKeys: workspace.apiKeys.map(hashKey),
        })),
        ({ name }) => name,
      ),
    }),
    // Gateways know only the services that have limits.
    ...(hasServices
      ? {
        services: createKeyedTree(
          services.filter(({ coldPerSecond }) => coldPerSecond !== undefined),
          ({ name }) => name,
        ),
      }
      : {}),
  };
}

function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
