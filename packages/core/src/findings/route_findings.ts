import { normalizeHost, type RoutesDocument } from "../routes/mod.ts";
import { createFinding, type Finding } from "./finding.ts";
import { findRouteLimitFindings } from "./route_limits.ts";

type Route = RoutesDocument["routes"][number];

/**
 * Finds routes, workspaces and services that never get a request, and limits
 * of routes that contradict each other.
 */
export function findRouteFindings(document: RoutesDocument): Finding[] {
  return [
    ...findHiddenRoutes(document),
    ...document.routes.flatMap((route, index) => [
      ...findPrefixFindings(route, index),
      ...findShareFindings(route, index),
      ...findRepeatedServices(route, index),
      ...findRouteLimitFindings(route, index),
    ]),
    ...findServiceFindings(document),
    ...findColdRates(document),
    ...findWorkspaceFindings(document),
    ...findRepeatedNames(document),
  ];
}

/**
 * Finds routes with the host and prefix of an earlier one. A longer prefix
 * hides no more than its own paths, so it never hides a whole route.
 */
function findHiddenRoutes({ routes }: RoutesDocument): Finding[] {
  const seen = new Map<string, string>();
  return routes.flatMap((route, index) => {
    const key = normalizeHost(route.host) + route.pathPrefix;
    const earlier = seen.get(key);
    if (earlier === undefined) {
      seen.set(key, route.name);
      return [];
    }
    return [createFinding("hiddenRoute", {
      path: ["routes", index, "pathPrefix"],
      text: `Route "${route.name}" never matches: route "${earlier}" has ` +
        "the same host and prefix",
    })];
  });
}

function findPrefixFindings(route: Route, index: number): Finding[] {
  const { name, pathPrefix } = route;
  if (pathPrefix.startsWith("/") && !/[?#\s]/.test(pathPrefix)) return [];
  return [createFinding("prefixNeverMatches", {
    path: ["routes", index, "pathPrefix"],
    text: `Route "${name}" never matches: "${pathPrefix}" is not the ` +
      "beginning of a path",
  })];
}

/** Largest difference from 1 of fractions that are meant to add up to 1. */
const sumTolerance = 0.001;

function findShareFindings(route: Route, index: number): Finding[] {
  const { name, services } = route;
  const weights = services.map(({ weight }) => weight);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const path = ["routes", index, "services"];
  if (total === 0 || services.some(({ service }) => service === "")) {
    return [createFinding("routeWithoutService", {
      path,
      text: total === 0
        ? `Route "${name}" refuses each request: no service has a weight ` +
          "above 0"
        : `Route "${name}" names no service`,
    })];
  }
  const areFractions = services.length > 1 &&
    weights.every((weight) => weight <= 1) &&
    weights.some((weight) => !Number.isInteger(weight));
  if (!areFractions || Math.abs(total - 1) <= sumTolerance) return [];
  return [createFinding("sharesWithoutSum", {
    path,
    text: `The weights of route "${name}" look like shares, but their sum ` +
      `is ${Number(total.toFixed(3))}, not 1`,
  })];
}

function findServiceFindings(
  { routes, services }: RoutesDocument,
): Finding[] {
  if (services === undefined) return [];
  const declared = new Set(services.map(({ name }) => name));
  const used = new Set(
    routes.flatMap((route) =>
      route.services.filter(({ weight }) => weight > 0)
        .map(({ service }) => service)
    ),
  );
  const unused = services.flatMap(({ name }, index) =>
    used.has(name) ? [] : [createFinding("serviceWithoutRoute", {
      path: ["services", index, "name"],
      text: `No route sends requests to service "${name}"`,
    })]
  );
  const undeclared = routes.flatMap((route, index) =>
    route.services.flatMap(({ service }, place) =>
      service === "" || declared.has(service)
        ? []
        : [createFinding("undeclaredService", {
          path: ["routes", index, "services", place, "service"],
          text: `Route "${route.name}" sends requests to service ` +
            `"${service}", which is not declared`,
        })]
    )
  );
  return [...unused, ...undeclared];
}

function findWorkspaceFindings(
  { routes, workspaces }: RoutesDocument,
): Finding[] {
  if (workspaces === undefined) return [];
  const keyless = workspaces.flatMap(({ apiKeys, name }, index) =>
    apiKeys.length > 0 ? [] : [createFinding("workspaceWithoutKeys", {
      path: ["workspaces", index, "apiKeys"],
      text: `Workspace "${name}" has no key, so it never calls`,
    })]
  );
  if (workspaces.some(({ apiKeys }) => apiKeys.length > 0)) {
    return [...keyless, ...findRepeatedKeys(workspaces)];
  }
  const closed = routes.flatMap(({ isPublic, name }, index) =>
    isPublic ? [] : [createFinding("noCallerKey", {
      path: ["routes", index],
      text: `Route "${name}" needs a key, but no workspace has one`,
    })]
  );
  return [...keyless, ...closed];
}

function findRepeatedKeys(
  workspaces: NonNullable<RoutesDocument["workspaces"]>,
): Finding[] {
  const owners = new Map<string, string>();
  return workspaces.flatMap(({ apiKeys, name }, index) =>
    apiKeys.flatMap((key, place) => {
      const owner = owners.get(key);
      owners.set(key, owner ?? name);
      return owner === undefined ? [] : [createFinding("repeatedKey", {
        path: ["workspaces", index, "apiKeys", place],
        text: `Workspace "${name}" has a key that is also listed for ` +
          `"${owner}"`,
      })];
    })
  );
}

function findRepeatedServices(
  { name, services }: Route,
  index: number,
): Finding[] {
  const seen = new Set<string>();
  return services.flatMap(({ service }, place) => {
    if (!seen.has(service)) {
      seen.add(service);
      return [];
    }
    return [createFinding("repeatedService", {
      path: ["routes", index, "services", place, "service"],
      text: `Route "${name}" lists service "${service}" before too; its ` +
        "weights are added up",
    })];
  });
}

function findColdRates({ services = [] }: RoutesDocument): Finding[] {
  return services.flatMap(({ coldPerSecond, name }, index) => {
    if (coldPerSecond === undefined || coldPerSecond > 0) return [];
    return [createFinding("noColdRequest", {
      path: ["services", index, "coldPerSecond"],
      text:
        `Runners of service "${name}" get no request while they are cold; ` +
        "without a rate, they get any",
    })];
  });
}

function findRepeatedNames(document: RoutesDocument): Finding[] {
  return (["routes", "workspaces", "services"] as const).flatMap((list) => {
    const seen = new Set<string>();
    return (document[list] ?? []).flatMap(({ name }, index) => {
      if (!seen.has(name)) {
        seen.add(name);
        return [];
      }
      return [createFinding("repeatedName", {
        path: [list, index, "name"],
        text: `"${name}" is the name of an earlier entry too`,
      })];
    });
  });
}
