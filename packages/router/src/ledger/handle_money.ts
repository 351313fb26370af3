import type { ServerResponse } from "node:http";
import {
  createScopedKey,
  getShard,
  type LedgerAnswer,
  OwnerSearch,
  parseKey,
} from "@jasminetide/core/ledger";
import { AppError } from "@jasminetide/core/results";
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

async function findAnswer(
  call: MoneyCall & OutgoingCall,
  context: RouterContext,
): Promise<LedgerAnswer> {
  const { ledgerRoutes, timers, directory } = context;
  const service = call.envelope.pool;
  const shard = getShard(
    createScopedKey(call.envelope.workspace, call.key),
    ledgerRoutes.getShardCount(service, call.declaredShardCount),
  );
  const search = OwnerSearch.create({
    service,
    shard,
    hint: ledgerRoutes.getOwner(service, shard),
  });
  while (timers.nowMs() < call.deadlineAtMs) {
    const runners = directory.getCandidates(service);
    const choice = search.choose(runners.map((runner) => runner.id));
    const runner = runners.find((runner) => runner.id === choice?.name);
    if (choice === undefined || runner === undefined) break;
    const answer = await askOwner(call, {
      ...context,
      runner,
      mayClaim: choice.mayClaim,
      onShardCount: (count) => ledgerRoutes.setShardCount(service, count),
    });
    const isFinal = search.apply(runner.id, answer);
    if (search.hint !== undefined) {
      ledgerRoutes.setOwner(service, shard, search.hint);
    }
    if (isFinal && answer !== undefined) return answer;
    await new Promise<void>((resolve) => {
      timers.schedule(betweenAsksMs, () => resolve());
    });
  }
  return search.last;
}
