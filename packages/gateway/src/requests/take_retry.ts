import type { GatewayContext } from "../gateway_context.ts";

/**
 * Takes a retry of a request from the budget of its service. The first send
 * does not count as one.
 *
 * @returns whether the request may be sent.
 */
export function takeRetry(
  { attempts, service }: { attempts: number; service: string },
  context: GatewayContext,
): boolean {
  const budget = context.services.getRetryBudget(service);
  const nowMs = context.timers.nowMs();
  if (attempts === 0) {
    budget.recordRequest(nowMs);
    context.hedging.get(service)?.recordRequest(nowMs);
    return true;
  }
  const isTaken = budget.tryTake(nowMs, countSharers(context));
  if (isTaken) context.metrics.countRetry();
  else context.metrics.countRefusedRetry();
  return isTaken;
}

/** Whether retries of a service leave half of their budget to others. */
export function hasRetriesToSpare(
  service: string,
  context: GatewayContext,
): boolean {
  const budget = context.services.getRetryBudget(service);
  return budget.hasHalfLeft(context.timers.nowMs(), countSharers(context));
}

/** Counts the routers that share the budget; undefined if it isn't known. */
function countSharers(context: GatewayContext): number | undefined {
  const hasList = context.getKnownRouters().otherHashes !== undefined;
  return hasList ? context.countRouters() : undefined;
}
