/** How a request may be handled when its answer does not arrive. */
export type RequestKind = "idempotent" | "nonIdempotent" | "stream";

/** One of the services among which a route distributes its requests. */
export type ServiceShare = {
  service: string;
  /** Relative share of the requests; a service of weight 0 gets none. */
  weight: number;
};

/** A declared route: the requests that it matches and their handling. */
export type DeclaredRoute = {
  name: string;
  /** Host name in lower case, without port. */
  host: string;
  /** Prefix of the matched paths; begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Time limit of a request for its caller, including a whole stream. */
  timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream. */
  goalMs: number;
  /** Target for the longest pause between events of a stream. */
  pauseGoalMs: number | undefined;
  /** Priority of its requests; 0 is the highest. */
  priority: number;
  services: ServiceShare[];
  /** Largest number of runners to which one call of a caller may be sent. */
  maxAttempts: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether a broken stream may be resumed at another runner. */
  isResumable: boolean;
};

/** A workspace and its API keys. */
export type DeclaredWorkspace = {
  name: string;
  apiKeys: string[];
  /** Overrides the priority of the route when present. */
  priority: number | undefined;
};

/** A service and what its runners tolerate. */
export type DeclaredService = {
  name: string;
  /** Time for which a runner is cold after its start, in milliseconds. */
  coldStartMs: number;
  /** Requests a second that a cold runner tolerates; unlimited if undefined. */
  coldPerSecond: number | undefined;
};

/** Size and time limits on callers' requests. */
export type CallerLimits = {
  maxBodyBytes: number;
  /** Time limit for receiving the headers of a request. */
  headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: number;
};

/** One version of the routes, workspaces and limits declared for routers. */
export type RoutingDeclaration = {
  version: number;
  routes: DeclaredRoute[];
  /** Absent when no request needs an API key. */
  workspaces: DeclaredWorkspace[] | undefined;
  callerLimits: CallerLimits;
  /** Services whose runners have limits; absent if none are declared. */
  services?: DeclaredService[];
};
