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
  maximumQuotaWishes,
  type QuotaGrantMessage,
  type QuotaWishMessage,
} from "@jasminetide/runtime/control";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Metrics } from "@jasminetide/runtime/metrics";

/** A live router as far as the choice of owners needs it. */
export type QuotaRouter = { name: string; controlAddress: string };

/** What the limiter of a router works with. */
export type WorkspaceLimiterOptions = {
  /** Name of this router. */
  name: string;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  /** Lists the live routers, this one among them. */
  listRouters: () => QuotaRouter[];
  /** Gets the limits of a workspace that are in force. */
  getRate: (workspace: WorkspaceId) => QuotaRate;
  /** Asks another router for quota of workspaces that it owns. */
  askOwner: (
    controlAddress: string,
    wishes: QuotaWishMessage[],
  ) => Promise<QuotaGrantMessage[]>;
};

/**
 * Mean time between two rounds of questions. Each time is drawn anew, so that
 * no router always asks just after another has emptied the quota.
 */
export const quotaAskPeriodMs = 500;

const maximumWorkspaces = 10_000;
const retryAfterMs = 1000;

/** What a request is charged, and what its refusal says. */
export type WorkspaceCharge = {
  tokens: number;
  /** `unknown` where an earlier request with the same key may have run. */
  executed?: Executed;
};

/**
 * Holds the limits of workspaces over all routers. Requests are decided by
 * what this router holds; owners are asked between requests. While an owner
 * does not answer, this router grants itself its even share of the limit.
 */
export class WorkspaceLimiter {
  readonly #options: WorkspaceLimiterOptions;
  readonly #holder = QuotaHolder.create({ maximumWorkspaces });
  readonly #owned = QuotaOwner.create({ maximumWorkspaces });
  readonly #shares = QuotaOwner.create({ maximumWorkspaces });
  readonly #asked = new Set<string>();
  #nextRound: Disposable;
  #routers = { count: 1, readAtMs: -Infinity };

  private constructor(options: WorkspaceLimiterOptions) {
    this.#options = options;
    this.#nextRound = this.#scheduleRound();
  }

  /** Starts to ask owners for the workspaces that have traffic here. */
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
    if (this.#holder.tryAdmit(use)) return;
    metrics.count("workspaces-limited");
    throw AppError.create(
      "workspaceLimited",
      `Workspace "${workspace}" is over ${rate.requests} requests or ` +
        `${rate.tokens} tokens a second`,
      { retryAfterMs, ...(executed === undefined ? {} : { executed }) },
    );
  }

  /** Grants other routers quota of the workspaces that this one owns. */
  grant(wishes: QuotaWishMessage[]): QuotaGrantMessage[] {
    const nowMs = this.#options.timers.nowMs();
    return wishes.map(([workspace, requests, tokens]) => {
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
    const delayMs = quotaAskPeriodMs * (0.5 + random.getFloat());
    return timers.schedule(delayMs, (nowMs) => {
      this.#nextRound = this.#scheduleRound();
      this.#startRound(nowMs);
    });
  }

  #startRound(nowMs: number): void {
    const routers = this.#options.listRouters();
    const byOwner = new Map<string, QuotaRequest[]>();
    for (const wish of this.#holder.takeQuotaRequests()) {
      const owner = chooseOwner(wish.workspace, routers);
      if (owner === undefined || owner.name === this.#options.name) {
        const quota = this.#grantOwned(wish, nowMs);
        this.#holder.applyGrant(wish.workspace, { quota, nowMs });
        continue;
      }
      const wishes = byOwner.get(owner.controlAddress) ?? [];
      wishes.push(wish);
      byOwner.set(owner.controlAddress, wishes);
    }
    for (const [address, wishes] of byOwner) {
      if (this.#asked.has(address)) this.#applyShares(wishes, nowMs);
      else void this.#askOwner(address, { wishes, nowMs });
    }
  }

  /** Grants count from the question, so that a late answer adds no time. */
  async #askOwner(
    address: string,
    options: { wishes: QuotaRequest[]; nowMs: number },
  ): Promise<void> {
    const { nowMs, wishes } = options;
    this.#asked.add(address);
    for (let start = 0; start < wishes.length; start += maximumQuotaWishes) {
      const batch = wishes.slice(start, start + maximumQuotaWishes);
      try {
        this.#applyGrants(batch, {
          grants: await this.#options.askOwner(address, encodeWishes(batch)),
          nowMs,
        });
      } catch (thrown) {
        this.#warn(thrown);
        this.#applyShares(batch, this.#options.timers.nowMs());
      }
    }
    this.#asked.delete(address);
  }

  #applyGrants(
    wishes: QuotaRequest[],
    answer: { grants: QuotaGrantMessage[]; nowMs: number },
  ): void {
    const { grants, nowMs } = answer;
    if (grants.length !== wishes.length) {
      throw AppError.create(
        "invalidMessage",
        `Cannot use ${grants.length} grants, expected ${wishes.length}`,
      );
    }
    for (const [index, { workspace }] of wishes.entries()) {
      const [requests, tokens] = grants[index];
      const quota = { requests, tokens };
      this.#holder.applyGrant(workspace, { quota, nowMs });
    }
  }

  #applyShares(wishes: QuotaRequest[], nowMs: number): void {
    this.#options.metrics.count("quota-owners-missed");
    for (const { wanted, workspace } of wishes) {
      const rate = this.#getShare(this.#options.getRate(workspace));
      const quota = this.#shares.grant({ workspace, wanted, rate, nowMs });
      this.#holder.applyGrant(workspace, { quota, nowMs });
    }
  }

  #grantOwned(wish: QuotaRequest, nowMs: number): Quota {
    const rate = this.#options.getRate(wish.workspace);
    return this.#owned.grant({ ...wish, rate, nowMs });
  }

  #getShare(rate: QuotaRate): QuotaRate {
    const count = this.#getRouterCount();
    return { requests: rate.requests / count, tokens: rate.tokens / count };
  }

  /** The count may be old by one period; a request does not list members. */
  #getRouterCount(): number {
    const nowMs = this.#options.timers.nowMs();
    if (nowMs - this.#routers.readAtMs >= quotaAskPeriodMs) {
      const count = Math.max(1, this.#options.listRouters().length);
      this.#routers = { count, readAtMs: nowMs };
    }
    return this.#routers.count;
  }

  #warn(thrown: unknown): void {
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

function encodeWishes(wishes: QuotaRequest[]): QuotaWishMessage[] {
  return wishes.map(({ wanted, workspace }) => [
    workspace,
    wanted.requests,
    wanted.tokens,
  ]);
}
