/** Whether a request took effect at its runner; `no` is a guarantee. */
export type Executed = "no" | "yes" | "unknown";

/** A result code, as listed in `docs/result-codes.md`. */
export type ResultCode = {
  /** Stable number of the code. */
  code: number;
  /** HTTP status of responses to callers. */
  status: number;
  /** Whether the request was executed, unless an error overrides it. */
  executed: Executed;
  /** Title in problem documents. */
  title: string;
};

/**
 * Result codes by name. 1xxx: requests of callers; 2xxx: limits and load;
 * 3xxx: runners and attempts; 4xxx: money calls; 5xxx: configuration and
 * platform; 6xxx: processes and orders; 9xxx: internal errors.
 */
export const resultCodes = {
  invalidRequest: row(1001, 400, "no", "Invalid request"),
  unauthorized: row(1002, 401, "no", "Missing or unknown key"),
  unknownModel: row(1003, 404, "no", "Unknown model"),
  unknownService: row(1004, 404, "no", "Unknown service"),
  bodyTooLarge: row(1005, 413, "no", "Request body too large"),
  invalidDeadline: row(1006, 400, "no", "Invalid deadline"),
  notFound: row(1007, 404, "no", "No such resource"),
  methodNotAllowed: row(1008, 405, "no", "Method not allowed"),
  callerGone: row(1009, 499, "unknown", "Caller went away"),
  workspaceLimited: row(2001, 429, "no", "Workspace limit reached"),
  overloaded: row(2002, 503, "no", "No runner has room"),
  deadlineUnreachable: row(2003, 503, "no", "Deadline cannot be met"),
  retryBudgetSpent: row(2004, 503, "no", "Retry budget spent"),
  circuitOpen: row(2005, 503, "no", "Pool is failing"),
  overLoadCap: row(2006, 503, "no", "Runner is at its load cap"),
  promptQuarantined: row(2007, 503, "no", "Prompt crashes runners"),
  requestQuarantined: row(2008, 503, "no", "Request crashes runners"),
  memoryLimited: row(2009, 503, "no", "Too many large request bodies"),
  bodyLate: row(2010, 408, "no", "Request body did not arrive in time"),
  noRunner: row(3001, 503, "no", "No live runner"),
  runnerLeaving: row(3002, 503, "no", "Runner is leaving"),
  epochMismatch: row(3003, 409, "no", "Runner was restarted"),
  runnerFailed: row(3004, 502, "unknown", "Runner failed"),
  runnerRefused: row(3005, 502, "no", "Runner refused the request"),
  deadlineExceeded: row(3006, 504, "unknown", "Deadline exceeded"),
  streamInterrupted: row(3007, 502, "unknown", "Stream interrupted"),
  answerMismatch: row(3008, 502, "unknown", "Answer was not for this request"),
  attemptTombstoned: row(3009, 409, "no", "Attempt was withdrawn"),
  runnerUnreachable: row(3010, 503, "no", "Runner cannot be reached"),
  chatHeldElsewhere: row(3011, 503, "no", "Another runner holds the chat"),
  routerLeaving: row(3012, 503, "no", "Router is leaving"),
  streamVersionUnknown: row(
    3013,
    503,
    "no",
    "Version that began the stream is unknown",
  ),
  keyReused: row(4001, 422, "no", "Key was used with another body"),
  keyRunning: row(4002, 409, "unknown", "Request with this key is running"),
  outcomeUnknown: row(4003, 502, "unknown", "Outcome is unknown"),
  keyTooOld: row(4004, 422, "no", "Key is older than the window"),
  ledgerUnavailable: row(4005, 503, "no", "Ledger is unavailable"),
  notShardOwner: row(4006, 421, "no", "Not the owner of the shard"),
  invalidKey: row(4007, 400, "no", "Invalid idempotency key"),
  answerNotKept: row(4008, 410, "yes", "Answer is not kept"),
  keyHistoryFull: row(4009, 422, "no", "History of keys is full"),
  outcomeResolved: row(4010, 409, "yes", "Outcome was found by operators"),
  invalidConfiguration: row(5001, 422, "no", "Invalid configuration"),
  versionConflict: row(5002, 409, "no", "Version conflict"),
  platformUnavailable: row(5003, 503, "unknown", "Platform is unavailable"),
  platformLimited: row(5004, 429, "no", "Platform rate limit reached"),
  valueTooLarge: row(5005, 413, "no", "Value too large"),
  hashMismatch: row(5006, 422, "no", "Body does not match its hash"),
  noDeclaration: row(5007, 503, "no", "No declaration is known yet"),
  staleFencingNumber: row(6001, 409, "no", "Fencing number is old"),
  leaseLost: row(6002, 409, "no", "Lease is held by another"),
  invalidSettings: row(6003, 422, "no", "Invalid process settings"),
  peerUnauthorized: row(6004, 403, "no", "Peer is not trusted"),
  invalidMessage: row(6005, 400, "no", "Invalid message"),
  invariantViolated: row(9001, 500, "unknown", "Invariant violated"),
  internal: row(9002, 500, "unknown", "Internal error"),
} as const satisfies Record<string, ResultCode>;

/** Name of a result code. */
export type ResultName = keyof typeof resultCodes;

function row(
  code: number,
  status: number,
  executed: Executed,
  title: string,
): ResultCode {
  return { code, status, executed, title };
}
