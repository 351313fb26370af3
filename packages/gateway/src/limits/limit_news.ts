import type { LimitChange, LimitStatement } from "@jasminetide/core/limits";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { PeerDelivery } from "../peers/peer_delivery.ts";
import type { Directory, Upstream } from "../upstreams/mod.ts";

/** Calls to the other gateways. */
export type LimitPeers = {
  /** Addresses of the other gateways. */
  list: () => string[];
  /** Rejects if the gateway does not answer. */
  send: (address: string, statements: LimitStatement[]) => Promise<void>;
};

/** Options of the news of limits. */
export type LimitNewsOptions = {
  timers: TimerService;
  logger: Logger;
  directory: Directory;
  peers: LimitPeers;
};

/**
 * Tells the other gateways when a runner begins, changes or ceases to state a
 * limit: those that have no share of it send nothing there and could not learn.
 */
export class LimitNews {
  readonly #options: LimitNewsOptions;
  readonly #delivery: PeerDelivery<Upstream>;
  readonly #reminder: TimerSubscription;

  private constructor(options: LimitNewsOptions) {
    const { peers, timers } = options;
    this.#options = options;
    this.#delivery = PeerDelivery.create<Upstream>({
      ...options,
      subject: "limits",
      listPeers: peers.list,
      send: (address, upstreams) =>
        peers.send(address, this.#formatStatements(upstreams)),
    });
    this.#reminder = timers.subscribe(reminderPeriodMs, () => this.#remind());
  }

  /** Creates news without any limit. */
  static create(options: LimitNewsOptions): LimitNews {
    return new LimitNews(options);
  }

  /** Records what an answer of a runner states and tells others of a change. */
  observe(upstream: Upstream, perSecond: number | undefined): void {
    const { limit } = upstream.availability;
    const change = limit.record(perSecond, this.#options.timers.nowMs());
    if (change === undefined) return;
    this.#logChange(upstream, change, "answer");
    this.#delivery.send(new Map([[upstream.id, upstream]]));
  }

  /** Takes in the statements that another gateway has received. */
  merge(statements: readonly LimitStatement[]): void {
    const { directory, timers } = this.#options;
    for (const { ageMs, perSecond, runnerId, startedAtMs } of statements) {
      const upstream = directory.find(runnerId);
      if (upstream?.record.startedAtMs !== startedAtMs) continue;
      const { limit } = upstream.availability;
      const change = limit.merge(perSecond, { ageMs, nowMs: timers.nowMs() });
      if (change !== undefined) this.#logChange(upstream, change, "gateway");
    }
  }

  [Symbol.dispose](): void {
    this.#reminder[Symbol.dispose]();
    this.#delivery[Symbol.dispose]();
  }

  /** Tells the others again of the limits that answers have stated lately. */
  #remind(): void {
    const { directory, timers } = this.#options;
    const nowMs = timers.nowMs();
    const items = new Map<string, Upstream>();
    for (const upstream of directory.listUpstreams()) {
      const { limit } = upstream.availability;
      const isStated = limit.getPerSecond(nowMs) !== undefined;
      const sinceHeardMs = nowMs - limit.heardAtMs;
      if (isStated && sinceHeardMs < reminderPeriodMs) {
        items.set(upstream.id, upstream);
      }
    }
    if (items.size > 0) this.#delivery.send(items);
  }

  #formatStatements(upstreams: readonly Upstream[]): LimitStatement[] {
    const nowMs = this.#options.timers.nowMs();
    return upstreams.map(({ availability, id, record }) => ({
      runnerId: id,
      startedAtMs: record.startedAtMs,
      perSecond: availability.limit.getPerSecond(nowMs),
      ageMs: availability.limit.getAgeMs(nowMs),
    }));
  }

  #logChange(
    { id }: Upstream,
    { type, ...inputs }: LimitChange,
    source: "answer" | "gateway",
  ): void {
    const fields = { runner: id, source, ...inputs };
    this.#options.logger.info(`runner-limit-${type}`, fields);
  }
}

/**
 * Period at which others are told of a limit again. It is well below the time
 * for which they believe in it.
 */
const reminderPeriodMs = 20_000;
