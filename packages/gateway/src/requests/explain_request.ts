import type { DeclaredRoute, RouteTable } from "@jasminetide/core/routes";
import * as z from "zod";
import type { GatewayContext } from "../gateway_context.ts";
import type { Directory, Upstream } from "../upstreams/mod.ts";

/** Schema of a query for the explanation of a request. */
export const explanationQuerySchema = z.object({
  host: z.string(),
  path: z.string(),
  apiKey: z.string().optional(),
});

/** Request whose handling an operator wants explained. */
export type ExplanationQuery = z.output<typeof explanationQuerySchema>;

/** Result of checking an API key for a route. */
export type KeyStatus =
  /** The route needs no key, or no keys are declared. */
  | "notNeeded"
  | "known"
  | "unknown";

/** State of a runner at this router. */
export type RunnerExplanation = {
  id: string;
  address: string;
  failureDomain: string;
  slots: number;
  /** Estimated number of requests that it holds. */
  load: number;
  /** Share of this router's last requests that failed, 0 to 1. */
  failureShare: number;
  /** Whether new requests go to other runners if there are any. */
  isAvoided: boolean;
  /** How long it is still cold, if it is. */
  coldLeftMs?: number;
  /** Requests a second that it accepts from all routers, if it states so. */
  limitPerSecond?: number;
};

/** How a router would handle a request, and the state this depends on. */
export type RequestExplanation = {
  /** Version of the current declaration; 0 before the first. */
  version: number;
  /** Absent when no route matches the request. */
  route?: DeclaredRoute;
  key: KeyStatus;
  /** Workspace that the key belongs to. */
  workspace?: string;
  /** Priority of the workspace or else of the route; 0 is served first. */
  priority?: number;
  /** Runners that accept new requests, by service of the route. */
  services: ServiceExplanation[];
};

/** Runners of a service that accept new requests, and failure domains. */
export type ServiceExplanation = {
  service: string;
  runners: RunnerExplanation[];
  /** Failure domains with runners of the service that are evacuated. */
  evacuatedDomains: string[];
};

/** Explains how this router would handle a request now. */
export function explainRequest(
  query: ExplanationQuery,
  context: Pick<GatewayContext, "directory" | "getRoutes" | "timers">,
): RequestExplanation {
  const routes = context.getRoutes();
  const route = routes?.findRoute(query.host, query.path);
  if (routes === undefined || route === undefined) {
    const version = routes?.declaration.version ?? 0;
    return { version, key: "notNeeded", services: [] };
  }
  const nowMs = context.timers.nowMs();
  return {
    version: routes.declaration.version,
    route,
    priority: route.priority,
    ...explainKey(query.apiKey, { route, routes }),
    services: route.services.map(({ service }) => ({
      service,
      runners: explainRunners(context.directory.listReady(service), nowMs),
      evacuatedDomains: listEvacuatedDomains(service, context.directory),
    })),
  };
}

function listEvacuatedDomains(service: string, directory: Directory): string[] {
  const domains = directory.listAll(service)
    .filter((upstream) => directory.isEvacuated(upstream))
    .map(({ failureDomain }) => failureDomain);
  return [...new Set(domains)];
}

function explainRunners(
  upstreams: readonly Upstream[],
  nowMs: number,
): RunnerExplanation[] {
  return upstreams.map((upstream) => explainRunner(upstream, nowMs));
}

function explainKey(
  apiKey: string | undefined,
  options: { route: DeclaredRoute; routes: RouteTable },
): Pick<RequestExplanation, "key" | "workspace"> & { priority?: number } {
  const { route, routes } = options;
  const areKeysDeclared = routes.declaration.workspaces !== undefined;
  if (route.isPublic || !areKeysDeclared) return { key: "notNeeded" };
  const workspace = routes.findWorkspace(apiKey ?? "");
  if (workspace === undefined) return { key: "unknown" };
  const { name, priority } = workspace;
  return {
    key: "known",
    workspace: name,
    ...(priority === undefined ? {} : { priority }),
  };
}

function explainRunner(upstream: Upstream, nowMs: number): RunnerExplanation {
  const { availability, health, id, load, record, slots } = upstream;
  const limitPerSecond = availability.limit.getPerSecond(nowMs);
  const coldLeftMs = availability.cold.getLeftMs(nowMs);
  return {
    id,
    address: record.address,
    failureDomain: record.failureDomain,
    slots,
    load: load.getEstimate(nowMs),
    failureShare: health.getFailureShare(nowMs),
    isAvoided: health.isAvoided(nowMs),
    ...(coldLeftMs > 0 ? { coldLeftMs } : {}),
    ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
  };
}
