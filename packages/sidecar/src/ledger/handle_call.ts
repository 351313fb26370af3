import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createScopedKey,
  type LedgerAnswer,
  parseKey,
} from "@jasminetide/core/ledger";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { headerNames, parseEnvelope } from "@jasminetide/runtime/exchange";
import { readBody, sendProblem } from "@jasminetide/runtime/http";
import type { Ledger } from "./ledger.ts";
import type { MoneyRequest } from "./run_call.ts";

/** Dependencies of the handler of money calls. */
export type CallContext = {
  ledger: Ledger;
  timers: TimerService;
  /** Gets the headers that are added to each answer. */
  getAnswerHeaders: () => { [name: string]: string };
  /**
   * Records the configuration version that a router has. If it is newer than
   * that of this process, waits a limited time until the newer one is fetched.
   */
  syncConfiguration: (
    version: number,
    sender: string,
  ) => Promise<void> | undefined;
  maximumBodyBytes: number;
};

/** Time between interim responses (102), which act as heartbeats. */
const heartbeatPeriodMs = 500;

/** Characters that are kept of the base64url-encoded SHA-256 hash. */
const requestHashLength = 22;

/** Checks whether a request of a router is a money call. */
export function isMoneyCall(request: IncomingMessage): boolean {
  return request.headers[headerNames.ledgerKey] !== undefined;
}

/** Answers a money call of a router. */
export async function handleCall(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallContext,
): Promise<void> {
  const headers = { ...context.getAnswerHeaders() };
  try {
    const arrivedAtMs = context.timers.nowMs();
    const envelope = parseEnvelope(request.headers);
    headers[headerNames.attempt] = envelope.attempt;
    const body = await readBody(request, context.maximumBodyBytes);
    response.writeProcessing();
    using _heartbeat = context.timers.subscribe(heartbeatPeriodMs, () => {
      if (!response.headersSent) response.writeProcessing();
    });
    await context.syncConfiguration(
      envelope.configurationVersion,
      envelope.sender ?? "",
    );
    const money: MoneyRequest = {
      envelope,
      method: request.method ?? "POST",
      path: request.url ?? "/",
      headers: request.headers,
      body,
      deadlineAtMs: arrivedAtMs + envelope.remainingMs,
      isDisconnected: () => response.closed || response.destroyed,
    };
    const answer = await requestAnswer(money, context);
    const shardCount = await context.ledger.getShardCount().catch(() => 0);
    headers[headerNames.ledgerShards] = String(shardCount);
    sendLedgerAnswer(response, answer, headers);
  } catch (thrown) {
    const error = normalizeError(thrown);
    sendProblem(response, error, {
      ...headers,
      [headerNames.executed]: error.executed,
    });
  }
}

function requestAnswer(
  money: MoneyRequest,
  context: CallContext,
): Promise<LedgerAnswer> {
  const { envelope, headers, deadlineAtMs } = money;
  const parsed = parseKey(String(headers[headerNames.ledgerKey]));
  return context.ledger.answer({
    id: envelope.attempt,
    key: createScopedKey(envelope.workspace, parsed.key),
    issuedAtMs: parsed.issuedAtMs,
    requestHash: hashRequest(money),
    deadlineAtMs,
    mayClaim: headers[headerNames.ledgerClaim] === "1",
  }, money);
}

function hashRequest(money: MoneyRequest): string {
  return createHash("sha256")
    .update(`${money.method} ${money.path}\n`)
    .update(money.body)
    .digest("base64url")
    .slice(0, requestHashLength);
}

function sendLedgerAnswer(
  response: ServerResponse,
  answer: LedgerAnswer,
  headers: { [name: string]: string },
): void {
  switch (answer.type) {
    case "answered": {
      const { status, headers: stored, body } = answer.answer;
      response.writeHead(status, {
        ...stored,
        ...headers,
        "content-length": body.length,
        [headerNames.ledgerAnswer]: answer.isStored ? "stored" : "new",
      });
      response.end(body);
      break;
    }
    case "refused":
      sendProblem(
        response,
        AppError.create(answer.result, answer.detail, answer),
        { ...headers, [headerNames.executed]: answer.executed },
      );
      break;
    case "moved":
      sendProblem(
        response,
        AppError.create("notShardOwner", "Another sidecar owns the shard"),
        {
          ...headers,
          [headerNames.executed]: "no",
          [headerNames.ledgerOwner]: encodeURIComponent(
            answer.owner?.name ?? "",
          ),
        },
      );
  }
}
