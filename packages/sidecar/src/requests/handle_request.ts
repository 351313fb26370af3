import type { IncomingMessage, ServerResponse } from "node:http";
import type { Admission } from "@jasminetide/core/admission";
import type { PeakGate } from "@jasminetide/core/peak";
import { AppError, normalizeError } from "@jasminetide/core/results";
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
import { runAttempt, type RunnerRequest } from "./run_attempt.ts";

/** What the data path of a sidecar works with. */
export type RequestContext = {
  attempts: AttemptStore;
  admission: Admission;
  /** Holds back what may wait, and counts computed tokens. */
  peak: PeakGate;
  isDeferrable: (priority: number) => boolean;
  runner: Dispatcher;
  timers: TimerService;
  metrics: Metrics;
  isLeaving: () => boolean;
  /** Headers that each answer carries. */
  getAnswerHeaders: () => { [name: string]: string };
  maximumBodyBytes: number;
};

const attemptPath = /^\/attempts\/([0-9a-f-]+)(?:\?offset=(\d+))?$/;

/** Handles one request of a router. */
export async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  try {
    const match = attemptPath.exec(request.url ?? "");
    if (match === null) await handleNew(request, response, context);
    else if (request.method === "DELETE") {
      context.attempts.cancel(match[1]);
      response.writeHead(204, context.getAnswerHeaders()).end();
    } else await handleResume(match, response, context);
  } catch (error) {
    sendRefusal(response, error, context);
  }
}

async function handleResume(
  match: RegExpExecArray,
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const [, id, offset] = match;
  context.metrics.count("answers-resumed");
  await sendAnswer(context.attempts.get(id).answer, response, {
    offsetBytes: Number(offset ?? "0"),
    headers: createHeaders(id, context),
  });
}

async function handleNew(
  request: IncomingMessage,
  response: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const envelope = parseEnvelope(request.headers);
  const arrivedAtMs = context.timers.nowMs();
  const body = await readBody(request, context.maximumBodyBytes);
  if (context.isLeaving()) {
    throw AppError.create("runnerLeaving", "Runner takes no new work");
  }
  const attempt = context.attempts.begin(envelope.attempt, {
    epoch: envelope.epoch,
    nowMs: arrivedAtMs,
  });
  const runnerRequest = {
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: request.headers,
    priority: envelope.priority,
    body,
    deadlineMs: envelope.remainingMs,
  };
  const work = admitAttempt(
    attempt,
    { envelope, runnerRequest, arrivedAtMs },
    context,
  );
  await Promise.race([work, attempt.answer.getHead()]);
  await sendAnswer(attempt.answer, response, {
    offsetBytes: 0,
    headers: createHeaders(envelope.attempt, context),
  });
  await work;
}

type Work = {
  envelope: RequestEnvelope;
  runnerRequest: RunnerRequest;
  arrivedAtMs: number;
};

/** Runs the attempt once admitted; refuses it when it never began. */
async function admitAttempt(
  attempt: StoredAttempt,
  work: Work,
  context: RequestContext,
): Promise<void> {
  const { envelope, runnerRequest, arrivedAtMs } = work;
  let hasBegun = false;
  try {
    await waitForRelease(attempt, work, context);
    await context.admission.run({
      workspace: envelope.workspace,
      priority: envelope.priority,
      weight: envelope.weight,
      costTokens: envelope.costTokens,
      deadlineAtMs: arrivedAtMs + envelope.remainingMs,
    }, async (observer) => {
      hasBegun = true;
      const nowMs = context.timers.nowMs();
      const waitedMs = nowMs - arrivedAtMs;
      context.metrics.record("admission-wait-ms", waitedMs);
      const computedTokens = await runAttempt(attempt, {
        ...runnerRequest,
        deadlineMs: envelope.remainingMs - waitedMs,
      }, { runner: context.runner, observer });
      recordTokens(work, { computedTokens, atMs: nowMs }, context);
    }, { signal: attempt.abort.signal });
  } catch (error) {
    if (!hasBegun) {
      context.attempts.refuse(envelope.attempt, context.timers.nowMs());
    }
    attempt.answer.fail(normalizeError(error));
    throw error;
  } finally {
    if (hasBegun) {
      context.attempts.complete(envelope.attempt, context.timers.nowMs());
    }
  }
}

/** Holds a deferrable request back while the minute is at its peak. */
async function waitForRelease(
  attempt: StoredAttempt,
  work: Work,
  context: RequestContext,
): Promise<void> {
  const { envelope, arrivedAtMs } = work;
  if (!context.isDeferrable(envelope.priority)) return;
  await context.peak.wait({
    id: envelope.attempt,
    costTokens: envelope.costTokens,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + envelope.remainingMs,
    durationMs: context.admission.getExpectedMs(envelope.costTokens),
  }, attempt.abort.signal);
}

/** Counts what a request computed; a release has counted its estimate. */
function recordTokens(
  work: Work,
  computed: { computedTokens: number | undefined; atMs: number },
  context: RequestContext,
): void {
  const { costTokens, priority } = work.envelope;
  const isDeferrable = context.isDeferrable(priority);
  const tokens = (computed.computedTokens ?? costTokens) -
    (isDeferrable ? costTokens : 0);
  const { atMs } = computed;
  context.peak.hold.meter.record(tokens, { atMs, isDeferrable });
}

function createHeaders(
  attempt: string,
  context: RequestContext,
): { [name: string]: string } {
  return {
    ...context.getAnswerHeaders(),
    [headerNames.attempt]: attempt,
    [headerNames.epoch]: String(context.attempts.epoch),
  };
}

function sendRefusal(
  response: ServerResponse,
  thrown: unknown,
  context: RequestContext,
): void {
  const error = normalizeError(thrown);
  context.metrics.count(`refused-${error.result}`);
  sendProblem(response, error, {
    ...context.getAnswerHeaders(),
    [headerNames.epoch]: String(context.attempts.epoch),
    [headerNames.executed]: error.executed,
  });
}
