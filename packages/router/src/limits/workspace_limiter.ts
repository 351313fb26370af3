import { hash64 } from "@jasminetide/core/hashing";
import {
  type Quota,
  quotaGrantLifetimeMs,
  QuotaHolder,
  QuotaOwner,
  type QuotaRate,
  type QuotaRequest,
} from "@jasminetide/core/limits";
import type { RandomSource } from "@jasminetide/core/random";
import {
  AppError,
  type Executed,
  normalizeError,
} from "@jasminetide/core/results";
import type { WorkspaceId } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  maximumQuotaRequests,
  type QuotaGrantMessage,
  type QuotaRequestMessage,
} from "@jasminetide/runtime/control";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Metrics } from "@jasminetide/runtime/metrics";

/** A live router that may own the quotas of workspaces. */
export type QuotaRouter = { name: string; controlAddress: string };

/** Services and settings of the workspace limiter of a router. */
export type WorkspaceLimiterOptions = {
  /** Name of this router. */
  name: string;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  /** Lists the live routers, including this one. */
  listRouters: () => QuotaRouter[];
  /** Gets the effective limits of a workspace. */
  getRate: (workspace: WorkspaceId) => QuotaRate;
  /** Requests quota from the router that owns the workspaces. */
  requestQuota: (
    controlAddress: string,
    quotaRequests: QuotaRequestMessage[],
  ) => Promise<QuotaGrantMessage[]>;
};

/**
 * Mean time between two rounds of quota requests. Each interval is random, so
 * that no router always sends its request right after another has used up the
 * quota.
 */
export const quotaRequestPeriodMs = 500;

/** Maximum number of workspaces whose quota is tracked. */
const maximumWorkspaces = 10_000;

/** Time after which a caller over the limit should retry. */
const retryAfterMs = 1000;

/** Tokens that a request is charged, and `executed` of its refusal. */
export type WorkspaceCharge = {
  tokens: number;
  /** `unknown` where an earlier request with the same key may have run. */
  executed?: Executed;
};

/**
 * Enforces the limits of workspaces across all routers. Requests are admitted
 * from the quota that this router holds; more is requested from the owners in
 * the background. While an owner does not answer, this router grants itself its
 * even share of the limit.
 */
export class WorkspaceLimiter {
  readonly #options: WorkspaceLimiterOptions;
  readonly #quotas = QuotaHolder.create({ maximumWorkspaces });
  readonly #ownedQuotas = QuotaOwner.create({ maximumWorkspaces });
  readonly #evenShares = QuotaOwner.create({ maximumWorkspaces });
  readonly #pendingOwners = new Set<string>();
  #nextRound: Disposable;
  #routers = { count: 1, readAtMs: -Infinity };

  private constructor(options: WorkspaceLimiterOptions) {
    this.#options = options;
    this.#nextRound = this.#scheduleRound();
  }

  /** Starts to request quota for the workspaces with traffic at this router. */
  static create(options: WorkspaceLimiterOptions): WorkspaceLimiter {
    return new WorkspaceLimiter(options);
  }

  /**
   * Charges a request to its workspace.
   *
   * @throws AppError `workspaceLimited` when the limit is used up.
   */
  check(workspace: WorkspaceId, charge: WorkspaceCharge): void {
    const { executed, tokens } = charge;
    const { getRate, metrics, timers } = this.#options;
    const rate = getRate(workspace);
    const share = this.#getShare(rate);
    const advance = {
      requests: share.requests * quotaGrantLifetimeMs / 1000,
      tokens: share.tokens * quotaGrantLifetimeMs / 1000,
    };
    const use = { workspace, tokens, nowMs: timers.nowMs(), advance };
    if (this.#quotas.tryAdmit(use)) return;
    metrics.count("workspaces-limited");
    throw AppError.create(
      "workspaceLimited",
      `Workspace "${workspace}" exceeds its limit of ${rate.requests} ` +
        `requests or ${rate.tokens} tokens a second`,
      { retryAfterMs, ...(executed === undefined ? {} : { executed }) },
    );
  }

  /** Grants other routers quota of the workspaces that this router owns. */
  grant(quotaRequests: QuotaRequestMessage[]): QuotaGrantMessage[] {
    const nowMs = this.#options.timers.nowMs();
    return quotaRequests.map(([workspace, requests, tokens]) => {
      const wanted = { requests, tokens };
      const quota = this.#grantOwned({ workspace, wanted }, nowMs);
      return [quota.requests, quota.tokens];
    });
  }

  [Symbol.dispose](): void {
    this.#nextRound[Symbol.dispose]();
  }

  #scheduleRound(): Disposable {
    const { random, timers } = this.#options;
    const delayMs = quotaRequestPeriodMs * (0.5 + random.getFloat());
    return timers.schedule(delayMs, (nowMs) => {
      this.#nextRound = this.#scheduleRound();
      this.#startRound(nowMs);
    });
  }

  #startRound(nowMs: number): void {
    const routers = this.#options.listRouters();
    const byOwner = new Map<string, QuotaRequest[]>();
    for (const quotaRequest of this.#quotas.takeQuotaRequests()) {
      const owner = chooseOwner(quotaRequest.workspace, routers);
      if (owner === undefined || owner.name === this.#options.name) {
        const quota = this.#grantOwned(quotaRequest, nowMs);
        this.#quotas.applyGrant(quotaRequest.workspace, { quota, nowMs });
        continue;
      }
      const quotaRequests = byOwner.get(owner.controlAddress) ?? [];
      quotaRequests.push(quotaRequest);
      byOwner.set(owner.controlAddress, quotaRequests);
    }
    for (const [address, quotaRequests] of byOwner) {
      if (this.#pendingOwners.has(address)) {
        this.#applyShares(quotaRequests, nowMs);
      } else void this.#requestQuotas(address, { quotaRequests, nowMs });
    }
  }

  /** Grants count from the request, so that a late answer adds no time. */
  async #requestQuotas(
    address: string,
    options: { quotaRequests: QuotaRequest[]; nowMs: number },
  ): Promise<void> {
    const { nowMs, quotaRequests } = options;
    this.#pendingOwners.add(address);
    for (
      let start = 0;
      start < quotaRequests.length;
      start += maximumQuotaRequests
    ) {
      const batch = quotaRequests.slice(start, start + maximumQuotaRequests);
      try {
        this.#applyGrants(batch, {
          grants: await this.#options.requestQuota(
            address,
            encodeQuotaRequests(batch),
          ),
          nowMs,
        });
      } catch (thrown) {
        this.#logFailure(thrown);
        this.#applyShares(batch, this.#options.timers.nowMs());
      }
    }
    this.#pendingOwners.delete(address);
  }

  #applyGrants(
    quotaRequests: QuotaRequest[],
    answer: { grants: QuotaGrantMessage[]; nowMs: number },
  ): void {
    const { grants, nowMs } = answer;
    if (grants.length !== quotaRequests.length) {
      throw AppError.create(
        "invalidMessage",
        `Received ${grants.length} quota grants, ` +
          `expected ${quotaRequests.length}`,
      );
    }
    for (const [index, { workspace }] of quotaRequests.entries()) {
      const [requests, tokens] = grants[index];
      const quota = { requests, tokens };
      this.#quotas.applyGrant(workspace, { quota, nowMs });
    }
  }

  #applyShares(quotaRequests: QuotaRequest[], nowMs: number): void {
    this.#options.metrics.count("quota-owners-missed");
    for (const { wanted, workspace } of quotaRequests) {
      const rate = this.#getShare(this.#options.getRate(workspace));
      const quota = this.#evenShares.grant({ workspace, wanted, rate, nowMs });
      this.#quotas.applyGrant(workspace, { quota, nowMs });
    }
  }

  #grantOwned(quotaRequest: QuotaRequest, nowMs: number): Quota {
    const rate = this.#options.getRate(quotaRequest.workspace);
    return this.#ownedQuotas.grant({ ...quotaRequest, rate, nowMs });
  }

  #getShare(rate: QuotaRate): QuotaRate {
    const count = this.#getRouterCount();
    return { requests: rate.requests / count, tokens: rate.tokens / count };
  }

  /** Caches the count for one period, so that requests do not list members. */
  #getRouterCount(): number {
    const nowMs = this.#options.timers.nowMs();
    if (nowMs - this.#routers.readAtMs >= quotaRequestPeriodMs) {
      const count = Math.max(1, this.#options.listRouters().length);
      this.#routers = { count, readAtMs: nowMs };
    }
    return this.#routers.count;
  }

  #logFailure(thrown: unknown): void {
    const error = normalizeError(thrown);
    this.#options.logger.warn("quota-ask-failed", {
      code: error.code,
      detail: error.message,
    });
  }
}

/** Chooses the owner of a workspace by rendezvous hashing. */
export function chooseOwner(
  workspace: WorkspaceId,
  routers: readonly QuotaRouter[],
): QuotaRouter | undefined {
  let chosen: QuotaRouter | undefined;
  let highest = -1n;
  for (const router of routers) {
    const weight = hash64(JSON.stringify([workspace, router.name]));
    if (weight <= highest) continue;
    chosen = router;
    highest = weight;
  }
  return chosen;
}

function encodeQuotaRequests(
  quotaRequests: QuotaRequest[],
): QuotaRequestMessage[] {
  return quotaRequests.map(({ wanted, workspace }) => [
    workspace,
    wanted.requests,
    wanted.tokens,
  ]);
}
