import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  AdmissionController,
  TaskObserver,
} from "@jasminetide/core/admission";
import type { Settings } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { RunnerId, RunnerKind } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  headerNames,
  parseEnvelope,
  type RequestEnvelope,
} from "@jasminetide/runtime/exchange";
import { readBody, sendProblem } from "@jasminetide/runtime/http";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { Dispatcher } from "undici";
import { sendAnswer } from "../answers/mod.ts";
import type { AttemptStore, StoredAttempt } from "./attempt_store.ts";
import {
  type PeakContext,
  recordComputedTokens,
  waitForRelease,
} from "./hold_back.ts";
import { runAttempt, type RunnerRequest } from "./run_attempt.ts";

/** Dependencies of the request handler. */
export type RequestContext = PeakContext & {
  attempts: AttemptStore;
  admission: AdmissionController;
  runner: Dispatcher;
  kind: RunnerKind;
  timers: TimerService;
  metrics: Metrics;
  /**
   * Records the configuration version that a router has. If it is newer than
   * that of this process, waits a limited time until the newer one is fetched.
   */
  syncConfiguration: (
    version: number,
    sender: string,
  ) => Promise<void> | undefined;
  getStreamSettings: () => Settings["stream"];
  isLeaving: () => boolean;
  /** Finds the runner to which a turn of a chat is redirected. */
  findHolder: (envelope: RequestEnvelope) => RunnerId | undefined;
  /** Records that a turn of a chat runs at this runner. */
  recordTurn: (envelope: RequestEnvelope) => void;
  /** Gets the headers that are added to each answer. */
  getAnswerHeaders: () => { [name: string]: string };
  maximumBodyBytes: number;
};

const attemptPath = /^\/attempts\/([0-9a-f-]+)(?:\?offset=(\d+)&epoch=(\d+))?$/;

/** Time between interim responses (102) until an answer begins. */
const heartbeatPeriodMs = 500;

/** Handles one request of a router. */
export async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const match = attemptPath.exec(request.url ?? "");
  const id = match?.[1] ?? String(request.headers[headerNames.attempt] ?? "");
  try {
    if (match === null) await handleNewAttempt(request, response, context);
    else if (request.method === "DELETE") {
      context.attempts.cancel(id);
      response.writeHead(204, createHeaders(id, context)).end();
    } else {
      const [, , offset, epoch] = match;
      await handleSettlement(
        { id, offsetBytes: Number(offset), epoch: Number(epoch) },
        response,
        context,
      );
    }
  } catch (error) {
    sendRefusal(response, { id, error: normalizeError(error) }, context);
  }
}

async function handleSettlement(
  settlement: { id: string; offsetBytes: number; epoch: number },
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const attempt = context.attempts.settleAnswer(settlement.id, {
    epoch: settlement.epoch,
    nowMs: context.timers.nowMs(),
  });
  context.metrics.count("answers-resumed");
  await relayAnswer(attempt, response, {
    id: settlement.id,
    offsetBytes: settlement.offsetBytes,
    context,
  });
}

async function handleNewAttempt(
  request: IncomingMessage,
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const envelope = parseEnvelope(request.headers);
  const arrivedAtMs = context.timers.nowMs();
  const body = await readBody(request, context.maximumBodyBytes);
  await context.syncConfiguration(
    envelope.configurationVersion,
    envelope.sender ?? "",
  );
  if (context.isLeaving()) {
    throw AppError.create("runnerLeaving", "Runner takes no new work");
  }
  checkHolder(envelope, response, context);
  const attempt = context.attempts.begin(envelope.attempt, {
    epoch: envelope.epoch,
    isIdempotent: envelope.isIdempotent,
    nowMs: arrivedAtMs,
  });
  const runnerRequest = {
    id: envelope.attempt,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: request.headers,
    priority: envelope.priority,
    body,
    deadlineMs: envelope.remainingMs,
  };
  void admitAttempt(attempt, { envelope, runnerRequest, arrivedAtMs }, context);
  await relayAnswer(attempt, response, {
    id: envelope.attempt,
    offsetBytes: 0,
    context,
  });
}

/** Refuses a turn whose cache another runner holds and names that runner. */
function checkHolder(
  envelope: RequestEnvelope,
  response: ServerResponse,
  context: RequestContext,
): void {
  const holder = context.findHolder(envelope);
  if (holder === undefined) return;
  response.setHeader(headerNames.chatHolder, encodeURIComponent(holder));
  throw AppError.create("chatHeldElsewhere", `Runner ${holder} holds the chat`);
}

/** Sends an answer, preceded by interim responses that act as heartbeats. */
async function relayAnswer(
  attempt: StoredAttempt,
  response: ServerResponse,
  options: { id: string; offsetBytes: number; context: RequestContext },
): Promise<void> {
  const { id, offsetBytes, context } = options;
  using _reader = context.attempts.addReader(
    attempt,
    () => context.timers.nowMs(),
  );
  const closed = new Promise<void>((resolve) => {
    response.once("close", resolve);
  });
  using _heartbeat = context.timers.subscribe(heartbeatPeriodMs, () => {
    if (!response.headersSent) response.writeProcessing();
  });
  await Promise.race([
    closed,
    sendAnswer(attempt.answer, response, {
      offsetBytes,
      headers: createHeaders(id, context),
    }),
  ]);
}

type AdmissionRequest = {
  envelope: RequestEnvelope;
  runnerRequest: RunnerRequest;
  arrivedAtMs: number;
};

/**
 * Waits for admission and runs the attempt. An attempt that was not started is
 * recorded as refused.
 */
async function admitAttempt(
  attempt: StoredAttempt,
  request: AdmissionRequest,
  context: RequestContext,
): Promise<void> {
  const { envelope, arrivedAtMs } = request;
  let hasBegun = false;
  try {
    await waitForRelease(request, attempt.abort.signal, context);
    await context.admission.run({
      workspace: envelope.workspace,
      priority: envelope.priority,
      weight: envelope.weight,
      costTokens: envelope.costTokens,
      deadlineAtMs: arrivedAtMs + envelope.remainingMs,
    }, async (observer) => {
      attempt.abort.signal.throwIfAborted();
      hasBegun = true;
      context.recordTurn(envelope);
      await runAdmitted(attempt, { ...request, observer }, context);
    }, { signal: attempt.abort.signal });
  } catch (error) {
    attempt.answer.fail(normalizeError(error));
  }
  const nowMs = context.timers.nowMs();
  if (hasBegun) context.attempts.complete(envelope.attempt, nowMs);
  else context.attempts.refuse(envelope.attempt, nowMs);
}

async function runAdmitted(
  attempt: StoredAttempt,
  request: AdmissionRequest & { observer: TaskObserver },
  context: RequestContext,
): Promise<void> {
  const { envelope, runnerRequest, arrivedAtMs, observer } = request;
  const nowMs = context.timers.nowMs();
  const waitedMs = nowMs - arrivedAtMs;
  context.metrics.record("admission-wait-ms", waitedMs);
  const computedTokens = await runAttempt(attempt, {
    ...runnerRequest,
    deadlineMs: envelope.remainingMs - waitedMs,
  }, { ...context, observer, stream: context.getStreamSettings() });
  recordComputedTokens(envelope, { computedTokens, atMs: nowMs }, context);
}

function createHeaders(
  id: string,
  context: RequestContext,
): { [name: string]: string } {
  return {
    ...context.getAnswerHeaders(),
    [headerNames.attempt]: id,
    [headerNames.epoch]: String(context.attempts.epoch),
  };
}

function sendRefusal(
  response: ServerResponse,
  refusal: { id: string; error: AppError },
  context: RequestContext,
): void {
  const { id, error } = refusal;
  context.metrics.count(`refused-${error.result}`);
  sendProblem(response, error, {
    ...createHeaders(id, context),
    [headerNames.executed]: error.executed,
  });
}
