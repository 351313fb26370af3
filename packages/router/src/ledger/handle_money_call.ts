import type { ServerResponse } from "node:http";
import {
  createScopedKey,
  getShard,
  type LedgerAnswer,
  OwnerSearch,
  parseKey,
} from "@jasminetide/core/ledger";
import { AppError } from "@jasminetide/core/results";
import { wait } from "@jasminetide/core/timers";
import { headerNames } from "@jasminetide/runtime/exchange";
import type { RouterContext } from "../router_context.ts";
import { type OutgoingMoneyCall, sendMoneyCall } from "./send_money_call.ts";

/** A caller's money call. */
export type MoneyCall = Omit<OutgoingMoneyCall, "key"> & {
  /** Value of the `Idempotency-Key` header. */
  keyHeader: string | string[];
  declaredShardCount: number;
};

/** Response header that marks a stored answer. */
const replayedHeader = "idempotent-replayed";

/** Delay before the next sidecar is tried in a search for the owner. */
const callRetryDelayMs = 20;

/** Delay before the search is repeated during a handover. */
const searchRetryDelayMs = 100;

/** Longest time to search for the successor of a leaving owner. */
const maxHandoverMs = 5000;

/** Sends a money call to the owner of its key's shard and relays the answer. */
export async function handleMoneyCall(
  call: MoneyCall,
  response: ServerResponse,
  context: RouterContext,
): Promise<void> {
  const { key } = parseKey(String(call.keyHeader));
  const answer = await findAnswer({ ...call, key }, context);
  context.metrics.count(`money-${answer.type}`);
  switch (answer.type) {
    case "answered": {
      const { status, headers, body } = answer.answer;
      response.writeHead(status, {
        ...headers,
        ...(answer.isStored ? { [replayedHeader]: "true" } : {}),
        "content-length": body.length,
      });
      response.end(body);
      break;
    }
    case "refused":
      throw AppError.create(answer.result, answer.detail, answer);
    case "moved":
      throw AppError.create("ledgerUnavailable", "No shard owner was found", {
        executed: "unknown",
      });
  }
}

/**
 * Searches for the owner until a sidecar gives a final answer. While an owner
 * leaves, its successor may not be ready yet: the search is then retried for
 * up to `maxHandoverMs`. The key makes the retry safe.
 */
async function findAnswer(
  call: MoneyCall & OutgoingMoneyCall,
  context: RouterContext,
): Promise<LedgerAnswer> {
  const { timers } = context;
  const handoverEndAtMs = Math.min(
    call.deadlineAtMs,
    timers.nowMs() + maxHandoverMs,
  );
  while (true) {
    const { answer, isHandover } = await findOwner(call, context);
    if (!isHandover || timers.nowMs() >= handoverEndAtMs) return answer;
    context.metrics.count("money-handovers");
    await wait(timers, searchRetryDelayMs);
  }
}

type SearchResult = {
  answer: LedgerAnswer;
  /** Whether no sidecar gave a final answer and an owner was leaving. */
  isHandover: boolean;
};

async function findOwner(
  call: MoneyCall & OutgoingMoneyCall,
  context: RouterContext,
): Promise<SearchResult> {
  const { ledgerShards, timers, membership } = context;
  const service = call.envelope.pool;
  const outgoing = {
    ...call,
    envelope: { ...call.envelope, sender: membership.controlAddress },
  };
  const shard = getShard(
    createScopedKey(call.envelope.workspace, call.key),
    ledgerShards.getShardCount(service, call.declaredShardCount),
  );
  const search = OwnerSearch.create({
    service,
    shard,
    hint: ledgerShards.getOwner(service, shard),
  });
  let isHandover = false;
  while (timers.nowMs() < call.deadlineAtMs) {
    const runners = membership.getCandidates(service);
    const choice = search.choose(runners.map((runner) => runner.id));
    const runner = runners.find((runner) => runner.id === choice?.name);
    if (choice === undefined || runner === undefined) break;
    membership.recordDispatch(runner.id);
    const answer = await sendMoneyCall(outgoing, {
      ...context,
      runner,
      mayClaim: choice.mayClaim,
      onAnswer: (headers) => {
        membership.recordAnswer(runner.id, headers);
        const count = Number(headers[headerNames.ledgerShards]);
        ledgerShards.setShardCount(service, count);
      },
    });
    const isFinal = search.apply(runner.id, answer);
    if (search.hint !== undefined) {
      ledgerShards.setOwner(service, shard, search.hint);
    }
    if (isFinal && answer !== undefined) return { answer, isHandover: false };
    isHandover ||= answer?.type === "refused" &&
      answer.result === "runnerLeaving";
    await wait(timers, callRetryDelayMs);
  }
  return { answer: search.lastAnswer, isHandover };
}
