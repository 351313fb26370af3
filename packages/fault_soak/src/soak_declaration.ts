/** Routing declarations that the soak publishes. */
import type {
  DeclaredRoute,
  DeclaredService,
  RoutingDeclaration,
} from "@jasminetide/core/routes";
import type { CallKind } from "./history.ts";

/** Host name of all routes. */
export const soakHost = "soak.example";

/** End of the path of a request that crashes each runner that runs it. */
export const crashPath = "crash";

/** API key that is valid in every version. */
export const soakKey = "soak-key";

/** Time limits by kind of request. */
export const callLimitsMs: Record<CallKind, number> = {
  lookup: 1500,
  payout: 1500,
  story: 3000,
  summary: 3000,
  added: 1500,
};

/** Creates a version; each has one more route than the version before it. */
export function createSoakDeclaration(
  version: number,
  services?: readonly DeclaredService[],
): RoutingDeclaration {
  const added = Array.from(
    { length: version },
    (_, index) => createRoute("added", index + 1),
  );
  return {
    version,
    routes: [
      createRoute("lookup"),
      createRoute("payout"),
      createRoute("story"),
      createRoute("summary"),
      ...added,
    ],
    workspaces: [
      { name: "soak", apiKeys: [soakKey], priority: undefined },
    ],
    callerLimits: {
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...(services === undefined ? {} : { services: [...services] }),
  };
}

/** Formats the path of a request; only added routes contain the version. */
export function formatPath(kind: CallKind, version: number): string {
  return kind === "added" ? `/added/${version}/` : `/${kind}/`;
}

function createRoute(kind: CallKind, version = 0): DeclaredRoute {
  const isStream = kind === "story" || kind === "summary";
  const isIdempotent = kind === "lookup" || kind === "added";
  return {
    name: kind === "added" ? `added-${version}` : kind,
    host: soakHost,
    pathPrefix: formatPath(kind, version),
    kind: isStream ? "stream" : isIdempotent ? "idempotent" : "nonIdempotent",
    timeoutMs: callLimitsMs[kind],
    goalMs: 300,
    pauseGoalMs: isStream ? 300 : undefined,
    priority: 0,
    services: [{ service: isStream ? "engine" : "desk", weight: 1 }],
    maxAttempts: kind === "payout" || kind === "summary" ? 1 : 3,
    isPublic: kind === "lookup",
    isResumable: kind === "story",
  };
}
