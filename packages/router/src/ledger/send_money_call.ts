import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { LedgerAnswer } from "@jasminetide/core/ledger";
import { parseProblem } from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";
import { type TimerService, wait } from "@jasminetide/core/timers";
import {
  copyForwardedHeaders,
  formatEnvelope,
  headerNames,
  type RequestEnvelope,
} from "@jasminetide/runtime/exchange";
import type { Metrics } from "@jasminetide/runtime/metrics";
import { SilenceWatch } from "@jasminetide/runtime/streams";
import type { Dispatcher, Pool } from "undici";
import { v7 as createAttemptId } from "uuid";
import type { Connections } from "../attempts/mod.ts";

/** A money call that is sent to a sidecar. */
export type OutgoingMoneyCall = {
  /** Parsed idempotency key of the caller. */
  key: string;
  method: string;
  path: string;
  headers: { [name: string]: string | string[] };
  body: Uint8Array;
  envelope: Omit<RequestEnvelope, "attempt" | "epoch" | "remainingMs">;
  deadlineAtMs: number;
};

/** Runner to send a money call to, and the services for it. */
export type SendMoneyCallOptions = {
  runner: RunnerRow;
  /** Whether the sidecar may claim the shard. */
  mayClaim: boolean;
  connections: Connections;
  timers: TimerService;
  metrics: Metrics;
  /** Called with the headers of each answer that belongs to the call. */
  onAnswer: (headers: IncomingHttpHeaders) => void;
};

/** Time without a heartbeat after which a connection counts as silent. */
const silenceTimeoutMs = 2000;

/** Time between two requests for the answer of a call that still runs. */
const runningPollMs = 250;

/**
 * Sends a money call to one sidecar. If its connection goes silent, the call is
 * sent once more on a new connection: the key keeps it from running twice.
 *
 * @returns undefined if the sidecar does not answer.
 */
export async function sendMoneyCall(
  call: OutgoingMoneyCall,
  options: SendMoneyCallOptions,
): Promise<LedgerAnswer | undefined> {
  const { timers } = options;
  let isResent = false;
  while (timers.nowMs() < call.deadlineAtMs) {
    const answer = await sendOnce(call, options);
    if (answer === "unreachable") return undefined;
    if (answer === "silent") {
      if (isResent) return undefined;
      options.metrics.count("money-resent");
      isResent = true;
    } else if (isResent && isRunning(answer)) {
      await wait(timers, runningPollMs);
    } else return answer;
  }
  return undefined;
}

function isRunning(answer: LedgerAnswer): boolean {
  return answer.type === "refused" && answer.result === "keyRunning";
}

async function sendOnce(
  call: OutgoingMoneyCall,
  options: SendMoneyCallOptions,
): Promise<LedgerAnswer | "silent" | "unreachable"> {
  const { timers, connections, runner } = options;
  const remainingMs = call.deadlineAtMs - timers.nowMs();
  const pool = connections.get(runner.dataAddress);
  const abort = new AbortController();
  let isSilent = false;
  using _deadline = timers.schedule(remainingMs, () => abort.abort());
  using watch = SilenceWatch.create({
    timers,
    limitMs: silenceTimeoutMs,
    onSilence: () => {
      isSilent = true;
      abort.abort();
    },
  });
  try {
    return await send(call, { ...options, pool, abort, remainingMs, watch });
  } catch {
    if (!isSilent) return "unreachable";
    connections.replace(runner.dataAddress, pool);
    return "silent";
  }
}

async function send(
  call: OutgoingMoneyCall,
  options: SendMoneyCallOptions & {
    pool: Pool;
    abort: AbortController;
    remainingMs: number;
    watch: SilenceWatch;
  },
): Promise<LedgerAnswer | "silent"> {
  const { runner, remainingMs } = options;
  const attempt = createAttemptId();
  const response = await options.pool.request({
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: {
      ...call.headers,
      ...formatEnvelope({
        ...call.envelope,
        attempt,
        epoch: runner.epoch,
        remainingMs,
      }),
      [headerNames.ledgerKey]: call.key,
      [headerNames.ledgerClaim]: options.mayClaim ? "1" : "0",
    },
    body: call.body.length === 0 ? null : call.body,
    signal: options.abort.signal,
    onInfo: () => options.watch.recordActivity(),
  });
  if (response.headers[headerNames.attempt] !== attempt) {
    options.metrics.count("answers-mismatched");
    response.body.destroy();
    return "silent";
  }
  options.onAnswer(response.headers);
  return await readLedgerAnswer(response);
}

async function readLedgerAnswer(
  response: Dispatcher.ResponseData,
): Promise<LedgerAnswer> {
  const { headers, statusCode } = response;
  const body = Buffer.from(await response.body.arrayBuffer());
  const ledgerAnswer = headers[headerNames.ledgerAnswer];
  if (ledgerAnswer !== undefined) {
    const answer = {
      status: statusCode,
      headers: copyForwardedHeaders(headers),
      body,
    };
    return { type: "answered", answer, isStored: ledgerAnswer === "stored" };
  }
  const owner = headers[headerNames.ledgerOwner];
  if (typeof owner === "string") {
    const name = decodeURIComponent(owner);
    return {
      type: "moved",
      owner: name === "" ? undefined : { name, epoch: 0 },
    };
  }
  return parseRefusal(body.toString("utf8"), headers["retry-after"]);
}

function parseRefusal(
  text: string,
  retryAfter: string | string[] | undefined,
): LedgerAnswer {
  const { result, executed, message, retryAfterMs } = parseProblem(
    text,
    retryAfter,
  );
  return {
    type: "refused",
    result,
    executed,
    detail: message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
