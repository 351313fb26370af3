import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError, normalizeError } from "@jasminetide/core/results";
import {
  chooseService,
  type DeclaredRoute,
  type DeclaredWorkspace,
  type RouteTable,
} from "@jasminetide/core/routes";
import { hasCallerLeft } from "@jasminetide/runtime/http";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallerRequest } from "../protocol.ts";
import type { RequestTrace } from "../request_log.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { CallerBody } from "./caller_body.ts";
import { Exchange } from "./exchange.ts";
import { learnHolders } from "./place_attempt.ts";

/** Answers one request of a caller; never rejects. */
export async function serveRequest(
  request: IncomingMessage,
  response: ServerResponse,
  context: GatewayContext,
): Promise<void> {
  const answer = CallerAnswer.create(response, context.isStopping);
  const caller = context.protocol.readCallerRequest(request.headers);
  const trace = context.requestLog.openTrace(caller.attemptId);
  context.metrics.countRequest();
  try {
    const read = { request, response, caller, answer, trace };
    await readAndSend(read, context);
  } catch (thrown) {
    const error = normalizeError(thrown);
    context.metrics.countRefused(error.result);
    trace.record("refused", {
      code: error.code,
      detail: error.message,
      version: context.getRoutes()?.declaration.version,
    });
    if (answer.hasBegun) answer.breakOff();
    else answer.sendError(error);
  }
  trace.close({ isFailed: answer.status >= 400 || answer.isBrokenOff });
}

/** A request whose head was read, and its answer. */
type ReadRequest = {
  request: IncomingMessage;
  response: ServerResponse;
  caller: CallerRequest;
  answer: CallerAnswer;
  trace: RequestTrace;
};

/**
 * Admits a request, reads its body and sends it to runners, unless its caller
 * has left by then.
 *
 * @throws AppError if it is refused.
 */
async function readAndSend(
  read: ReadRequest,
  context: GatewayContext,
): Promise<void> {
  const { answer, caller, request, trace } = read;
  const arrivedAtMs = context.timers.nowMs();
  await waitForState(caller, context);
  if (hasCallerLeft(request.socket)) return recordLeft(trace, context);
  const admission = admitRequest(request, caller, context);
  trace.record("admitted", {
    route: admission.route.name,
    service: admission.service,
    workspace: admission.workspace,
    version: context.getRoutes()?.declaration.version,
    limitMs: admission.limitMs,
    afterEvent: caller.takeUp?.lastEventId,
    firstAttemptId: caller.takeUp?.firstAttemptId,
    connectionAgeMs: Math.round(context.getConnectionAgeMs(request.socket)),
  });
  const deadlineMs = arrivedAtMs + admission.limitMs;
  using reading = CallerBody.create(request, {
    maxBodyBytes: admission.maxBodyBytes,
    idleTimeoutMs: admission.idleTimeoutMs,
    deadlineMs,
    timers: context.timers,
    bodyMemory: context.bodyMemory,
  });
  const body = await reading.read().catch(ignoreDisconnect);
  if (body === undefined) return recordLeft(trace, context);
  const softwareVersion = await chooseVersion(read, admission, context);
  await learnHolders(caller, context);
  if (hasCallerLeft(request.socket)) return recordLeft(trace, context);
  assertOpen(context);
  const admitted = { ...admission, deadlineMs, body, caller, softwareVersion };
  await Exchange.serve({ ...read, context, admitted });
  if (!answer.hasBegun) return;
  const durationMs = context.timers.nowMs() - arrivedAtMs;
  context.metrics.recordAnswer(admitted.route.kind, durationMs);
  context.metrics.countAnswered(answer.status);
}

function recordLeft(
  trace: RequestTrace,
  { metrics }: GatewayContext,
): void {
  metrics.countDisconnectedCaller();
  trace.record("caller-left", { attempts: 0 });
}

/**
 * Lets a request that arrives during the start wait until the gateway knows its
 * fleet. That takes a fraction of a second, while a refused caller has to come
 * back, and may do so only once.
 */
async function waitForState(
  caller: CallerRequest,
  context: GatewayContext,
): Promise<void> {
  if (context.isComplete()) return;
  const leftMs = caller.timeoutMs ?? Infinity;
  const limitMs = Math.min(maxStateWaitMs, leftMs * maxStateWaitShare);
  await context.waitUntilComplete(limitMs);
}

/**
 * Chooses the software version at which a stream that is taken up goes on.
 *
 * @returns undefined if it may be any.
 * @throws AppError `streamVersionUnknown`.
 */
async function chooseVersion(
  { caller: { takeUp }, trace }: ReadRequest,
  { route, service }: Admission,
  { streamVersions }: GatewayContext,
): Promise<string | undefined> {
  if (takeUp === undefined || !route.isResumable) return undefined;
  const choice = await streamVersions.chooseVersion(takeUp, service);
  if (choice.type === "version") {
    trace.record("stream-version", { softwareVersion: choice.softwareVersion });
    return choice.softwareVersion;
  }
  const candidates = choice.candidates.join(", ");
  throw AppError.create(
    "streamVersionUnknown",
    `No record of the stream was found; it may be of versions ${candidates}`,
    { retryAfterMs: unknownRetryAfterMs },
  );
}

/** Ignores that a caller has disconnected, also within a body. */
function ignoreDisconnect(thrown: unknown): undefined {
  if (!(thrown instanceof AppError)) return;
  if (thrown.result !== "callerGone") throw thrown;
}

/** Route and limits of a request that is admitted. */
type Admission = {
  route: DeclaredRoute;
  service: string;
  workspace: string | undefined;
  /** Priority of the workspace or else of the route; 0 is served first. */
  priority: number;
  maxBodyBytes: number;
  idleTimeoutMs: number;
  /** Time limit from the request's arrival to the end of its answer. */
  limitMs: number;
};

/**
 * Finds the route, workspace and service of a request by the current
 * declaration.
 *
 * @throws AppError `notFound`, `unauthorized`, `noDeclaration` or
 * `routerLeaving`.
 */
function admitRequest(
  request: IncomingMessage,
  caller: CallerRequest,
  context: GatewayContext,
): Admission {
  assertOpen(context);
  const routes = context.getRoutes();
  if (routes === undefined) {
    throw AppError.create("noDeclaration", "No declaration received yet", {
      retryAfterMs: startRetryAfterMs,
    });
  }
  const route = routes.findRoute(request.headers.host ?? "", request.url ?? "");
  if (route === undefined) throw AppError.create("notFound", "No such route");
  const workspace = route.isPublic
    ? undefined
    : authenticate(caller.apiKey, routes);
  const service = chooseService(route, context.random);
  if (service === undefined) {
    throw AppError.create("noRunner", `Route ${route.name} has no service`, {
      retryAfterMs: startRetryAfterMs,
    });
  }
  const { idleTimeoutMs, maxBodyBytes } = routes.declaration.callerLimits;
  const limitMs = Math.min(route.timeoutMs, caller.timeoutMs ?? Infinity);
  return {
    route,
    service,
    workspace: workspace?.name,
    priority: workspace?.priority ?? route.priority,
    maxBodyBytes,
    idleTimeoutMs,
    limitMs,
  };
}

/**
 * Checks that a request can still be completed: it may have arrived on a
 * connection that was being closed, or its body long after its head.
 *
 * @throws AppError `routerLeaving`.
 */
function assertOpen(context: GatewayContext): void {
  if (!context.isClosing()) return;
  throw AppError.create("routerLeaving", "The router is shutting down", {
    retryAfterMs: leavingRetryAfterMs,
  });
}

/** Finds the workspace of a key; undefined where no keys are declared. */
function authenticate(
  apiKey: string | undefined,
  routes: RouteTable,
): DeclaredWorkspace | undefined {
  if (routes.declaration.workspaces === undefined) return undefined;
  const workspace = routes.findWorkspace(apiKey ?? "");
  if (workspace === undefined) {
    throw AppError.create("unauthorized", "The API key is unknown");
  }
  return workspace;
}

/** Longest wait of a request for the gateway's first state. */
const maxStateWaitMs = 1000;

/** Share of the time to its deadline that a request waits for it at most. */
const maxStateWaitShare = 0.25;

/** Other routers accept the request at once. */
const leavingRetryAfterMs = 50;

/** Time in which the router that began a stream may write its version. */
const unknownRetryAfterMs = 500;

/** Time in which a newly started router loads its declaration and runners. */
const startRetryAfterMs = 300;
