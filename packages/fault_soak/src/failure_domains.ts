/** Failure domains of the runners, their evacuations, and cold runners. */
import type { DeclaredService } from "@jasminetide/core/routes";

/** Names of the failure domains. */
export const soakDomains = ["domain-0", "domain-1"] as const;

/** Time within which an evacuation must take effect. */
export const evacuationLimitMs = 3000;

/** Time for which a runner is cold after a restart. */
export const coldMs = 3000;

/** Requests a second that a cold runner tolerates from all gateways. */
export const coldPerSecond = 6;

/** Requests in a second at which a cold runner exits. */
export const coldCrashPerSecond = 40;

/** What is declared of cold runners where episodes have them. */
export const coldServices: readonly DeclaredService[] = ["engine", "desk"]
  .map((name) => ({ name, coldStartMs: coldMs, coldPerSecond }));

/** Whether a runner is in a failure domain; each has runners of every service. */
export function isInDomain(
  { index }: { index: number },
  domain: number,
): boolean {
  return Math.floor(index / 2) % soakDomains.length === domain;
}

/** Gets the failure domain of a runner. */
export function getRunnerDomain(runner: { index: number }): string {
  return soakDomains[isInDomain(runner, 0) ? 0 : 1];
}
