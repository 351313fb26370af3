import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { AdmissionController } from "@jasminetide/core/admission";
import type { CallOutcome } from "@jasminetide/core/ledger";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import {
  copyForwardedHeaders,
  type RequestEnvelope,
} from "@jasminetide/runtime/exchange";
import type { Dispatcher } from "undici";

/** A money call as a router sent it. */
export type MoneyRequest = {
  envelope: RequestEnvelope;
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Uint8Array;
  deadlineAtMs: number;
  /** Checks whether the router has disconnected or cancelled the call. */
  isDisconnected: () => boolean;
};

/** The runner's connection pool and admission controller. */
export type RunnerAccess = { pool: Dispatcher; admission: AdmissionController };

/** Options of sending a call to the runner. */
export type RunCallOptions = {
  runner: RunnerAccess;
  timers: TimerService;
  /** The call is not sent after this time. */
  notAfterMs: number;
};

/** Codes of errors that occur before any byte of a request is sent. */
const unsentCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Sends a call to the runner at most once; never throws. */
export async function runCall(
  request: MoneyRequest,
  options: RunCallOptions,
): Promise<CallOutcome> {
  const { envelope } = request;
  let isSent = false;
  try {
    return await options.runner.admission.run({
      workspace: envelope.workspace,
      priority: envelope.priority,
      weight: envelope.weight,
      costTokens: envelope.costTokens,
      deadlineAtMs: request.deadlineAtMs,
    }, () => {
      // The process may have been paused since the intent was written.
      const isLate = options.timers.nowMs() > options.notAfterMs;
      if (isLate || request.isDisconnected()) return Promise.resolve(notRun);
      isSent = true;
      return send(request, options);
    });
  } catch (thrown) {
    if (!isSent || isUnsentError(thrown)) return notRun;
    return { type: "unknown", detail: normalizeError(thrown).message };
  }
}

const notRun: CallOutcome = { type: "not-run" };

async function send(
  request: MoneyRequest,
  options: RunCallOptions,
): Promise<CallOutcome> {
  const remainingMs = request.deadlineAtMs - options.timers.nowMs();
  const response = await options.runner.pool.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: copyForwardedHeaders(request.headers),
    body: request.body.length === 0 ? null : request.body,
    signal: AbortSignal.timeout(Math.max(1, Math.ceil(remainingMs))),
  });
  const body = Buffer.from(await response.body.arrayBuffer());
  return {
    type: "answered",
    answer: {
      status: response.statusCode,
      headers: copyForwardedHeaders(response.headers),
      body,
    },
  };
}

function isUnsentError(thrown: unknown): boolean {
  const code = (thrown as { code?: unknown } | undefined)?.code;
  return typeof code === "string" && unsentCodes.has(code);
}
