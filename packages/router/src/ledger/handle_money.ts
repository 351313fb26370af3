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
import { askOwner, type OutgoingCall } from "./ask_owner.ts";

/** A caller's money call. */
export type MoneyCall = Omit<OutgoingCall, "key"> & {
  /** Value of the `Idempotency-Key` header. */
  keyHeader: string | string[];
  declaredShardCount: number;
};

/** Tells a caller that an answer is a stored one. */
const replayedHeader = "idempotent-replayed";

const betweenAsksMs = 20;

const betweenSearchesMs = 100;

/** Longest time for which a leaving owner's successor is waited for. */
const handoverMs = 5000;

/** Brings a money call to the owner of its key and answers the caller. */
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
      throw AppError.create("ledgerUnavailable", "No owner of the shard", {
        executed: "unknown",
      });
  }
}

/**
 * Asks for the answer until a sidecar has the last word. While an owner
 * leaves, the next one may not be ready yet: the search begins again for a
 * while, which the key makes safe.
 */
async function findAnswer(
  call: MoneyCall & OutgoingCall,
  context: RouterContext,
): Promise<LedgerAnswer> {
  const { timers } = context;
  const endAtMs = Math.min(call.deadlineAtMs, timers.nowMs() + handoverMs);
  while (true) {
    const { answer, isHandover } = await findOwner(call, context);
    if (!isHandover || timers.nowMs() >= endAtMs) return answer;
    context.metrics.count("money-handovers");
    await wait(timers, betweenSearchesMs);
  }
}

type Search = {
  answer: LedgerAnswer;
  /** Whether nobody has the last word and an owner was leaving. */
  isHandover: boolean;
};

async function findOwner(
  call: MoneyCall & OutgoingCall,
  context: RouterContext,
): Promise<Search> {
  const { ledgerRoutes, timers, directory } = context;
  const service = call.envelope.pool;
  const outgoing = {
    ...call,
    envelope: { ...call.envelope, sender: directory.controlAddress },
  };
  const shard = getShard(
    createScopedKey(call.envelope.workspace, call.key),
    ledgerRoutes.getShardCount(service, call.declaredShardCount),
  );
  const search = OwnerSearch.create({
    service,
    shard,
    hint: ledgerRoutes.getOwner(service, shard),
  });
  let isHandover = false;
  while (timers.nowMs() < call.deadlineAtMs) {
    const runners = directory.getCandidates(service);
    const choice = search.choose(runners.map((runner) => runner.id));
    const runner = runners.find((runner) => runner.id === choice?.name);
    if (choice === undefined || runner === undefined) break;
    directory.recordDispatch(runner.id);
    const answer = await askOwner(outgoing, {
      ...context,
      runner,
      mayClaim: choice.mayClaim,
      onAnswer: (headers) => {
        directory.recordAnswer(runner.id, headers);
        const count = Number(headers[headerNames.ledgerShards]);
        ledgerRoutes.setShardCount(service, count);
      },
    });
    const isFinal = search.apply(runner.id, answer);
    if (search.hint !== undefined) {
      ledgerRoutes.setOwner(service, shard, search.hint);
    }
    if (isFinal && answer !== undefined) return { answer, isHandover: false };
    isHandover ||= answer?.type === "refused" &&
      answer.result === "runnerLeaving";
    await wait(timers, betweenAsksMs);
  }
  return { answer: search.lastAnswer, isHandover };
}
