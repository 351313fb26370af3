import type { DeclaredRoute, RouteTable } from "@jasminetide/core/routes";
import * as z from "zod";
import type { GatewayContext } from "../gateway_context.ts";
import type { Upstream } from "../upstreams/mod.ts";

/** Names the request that an operator asks about. */
export const requestQuestionSchema = z.object({
  host: z.string(),
  path: z.string(),
  apiKey: z.string().optional(),
});

/** A request that an operator asks about. */
export type RequestQuestion = z.output<typeof requestQuestionSchema>;

/** How a key stands to a route. */
export type KeyStanding =
  /** The route needs no key, or no keys are declared. */
  | "notNeeded"
  | "known"
  | "unknown";

/** A runner as this router sees it now. */
export type RunnerExplanation = {
  id: string;
  address: string;
  failureDomain: string;
  slots: number;
  /** Requests that it is believed to hold. */
  load: number;
  /** Share of this router's last requests that failed, 0 to 1. */
  failureShare: number;
  /** Whether new work goes elsewhere if it can. */
  isAvoided: boolean;
};

/** What a router would do with a request, and on what it rests that. */
export type RequestExplanation = {
  /** Version of the declaration in force, 0 before the first. */
  version: number;
  /** Absent when no route takes the request. */
  route?: DeclaredRoute;
  key: KeyStanding;
  /** Workspace that holds the key. */
  workspace?: string;
  /** Rank of the workspace or the route; 0 goes first. */
  priority?: number;
  /** Runners that take new requests, by service of the route. */
  services: { service: string; runners: RunnerExplanation[] }[];
};

/** Explains what this router would do with a request now. */
export function explainRequest(
  question: RequestQuestion,
  context: Pick<GatewayContext, "directory" | "getRoutes" | "timers">,
): RequestExplanation {
  const routes = context.getRoutes();
  const route = routes?.findRoute(question.host, question.path);
  if (routes === undefined || route === undefined) {
    const version = routes?.declaration.version ?? 0;
    return { version, key: "notNeeded", services: [] };
  }
  const nowMs = context.timers.nowMs();
  return {
    version: routes.declaration.version,
    route,
    priority: route.priority,
    ...explainKey(question.apiKey, { route, routes }),
    services: route.services.map(({ service }) => ({
      service,
      runners: context.directory.listReady(service).map((upstream) =>
        explainRunner(upstream, nowMs)
      ),
    })),
  };
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
  const { health, id, load, record, slots } = upstream;
  return {
    id,
    address: record.address,
    failureDomain: record.failureDomain,
    slots,
    load: load.getEstimate(nowMs),
    failureShare: health.getFailureShare(nowMs),
    isAvoided: health.isAvoided(nowMs),
  };
}
