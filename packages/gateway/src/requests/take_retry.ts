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
  const budget = context.getRetryBudget(service);
  const nowMs = context.timers.nowMs();
  if (attempts === 0) {
    budget.recordRequest(nowMs);
    return true;
  }
  const hasList = context.getKnownRouters().otherHashes !== undefined;
  const routers = hasList ? context.countRouters() : undefined;
  const isTaken = budget.tryTake(nowMs, routers);
  if (isTaken) context.metrics.countRetry();
  else context.metrics.countRefusedRetry();
  return isTaken;
}
