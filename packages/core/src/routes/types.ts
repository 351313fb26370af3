/** What may be done with a request whose answer failed to come. */
export type RequestKind = "idempotent" | "nonIdempotent" | "stream";

/** One of the services among which a route splits its requests. */
export type ServiceShare = {
  service: string;
  /** Relative share; 0 takes no requests. */
  weight: number;
};

/** A declared route: which requests it takes and how they are treated. */
export type DeclaredRoute = {
  name: string;
  /** Host name in lower case, without port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time that a caller is kept waiting, whole streams included. */
  timeoutMs: number;
  /** Time to the answer, or to the first event, that callers hope for. */
  goalMs: number;
  /** Longest pause between events that callers hope for. */
  pauseGoalMs: number | undefined;
  /** Rank of its requests; 0 goes first. */
  priority: number;
  services: ServiceShare[];
  /** Most runners to which one attempt of a caller may be sent. */
  maxAttempts: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether a broken stream may go on at another runner. */
  isResumable: boolean;
};

/** A workspace and the API keys that stand for it. */
export type DeclaredWorkspace = {
  name: string;
  apiKeys: string[];
  /** Replaces the priority of the route when present. */
  priority: number | undefined;
};

/** Bounds on what callers may send and how long they may take. */
export type CallerLimits = {
  maxBodyBytes: number;
  /** Time for the headers of a request. */
  headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: number;
};

/** Everything that the operators declare for the routers, as one version. */
export type RoutingDeclaration = {
  version: number;
  routes: DeclaredRoute[];
  /** Absent when no request needs a key. */
  workspaces: DeclaredWorkspace[] | undefined;
  callerLimits: CallerLimits;
};
