import type { RandomSource } from "@jasminetide/core/random";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import type { StorePosition } from "@jasminetide/core/store";
import type { TimerService } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Evacuation } from "./evacuations/mod.ts";
import {
  ObjectFollower,
  type ObjectNews,
  type ObjectSource,
} from "./following/mod.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  type GatewayState,
  getHostCapacity,
  getNewsLimits,
  type News,
  NewsFollower,
  type NewsLimits,
  type NewsPositions,
  NewsPublisher,
  type PeerRecord,
  subscribeToNews,
} from "./peers/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import type { RunnerRecord } from "./upstreams/mod.ts";

/** Options of a state sync. */
export type StateSyncOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: GatewayMetrics;
  declarations: ObjectSource<RoutingDeclaration>;
  runners: ObjectSource<RunnerRecord>;
  /** Followed only if the settings have a limit for evacuations. */
  evacuations: ObjectSource<Evacuation>;
  /** Other gateways by name; empty before the first list. */
  listGateways: () => ReadonlyMap<string, PeerRecord>;
  /** Chooses between a record of a restored store and what is known. */
  resolveRunner: (restored: RunnerRecord) => RunnerRecord | undefined;
  /** Called with all declarations after each change. */
  onDeclarations: (declarations: Iterable<RoutingDeclaration>) => void;
  /** Called with all runners after each change. */
  onRunners: (records: ReadonlyMap<string, RunnerRecord>) => void;
  /** Called with all evacuations after each change. */
  onEvacuations: (evacuations: Iterable<Evacuation>) => void;
};

/** Runners that one gateway lists for another. */
export type RunnerList = Pick<
  GatewayState,
  "keepMissingMs" | "position" | "runners"
>;

/** What a sync does with a follower of any kind of object. */
type FollowedKind = Pick<
  ObjectFollower<unknown>,
  "confirm" | "getAgeMs" | "isConnected" | "setPaused"
>;

/**
 * Keeps the declarations, runners and evacuations of a gateway up to date: from
 * the store, or from another gateway that reads the store for several.
 */
export class StateSync {
  /** Sends the changes to the gateways that follow this one. */
  readonly publisher: NewsPublisher;
  readonly #options: StateSyncOptions;
  readonly #resources = ResourceStack.create();
  readonly #limits: NewsLimits;
  readonly #declarations: ObjectFollower<RoutingDeclaration>;
  readonly #runners: ObjectFollower<RunnerRecord>;
  readonly #evacuations: ObjectFollower<Evacuation> | undefined;
  /** All of these, whatever their kind. */
  readonly #followers: readonly FollowedKind[];
  readonly #news: NewsFollower;

  private constructor(options: StateSyncOptions) {
    const { platform } = options.settings;
    this.#options = options;
    this.#limits = getNewsLimits(platform);
    this.publisher = this.#resources.use(this.#createPublisher());
    this.#declarations = this.#resources.use(ObjectFollower.create({
      ...options,
      name: "declarations",
      source: options.declarations,
      getWatchMs: () => this.#getWatchMs(),
      getMaxBackoffMs: () => this.#getMaxBackoffMs(),
      keepMissingMs: 0,
      onObjects: (objects) => {
        options.onDeclarations(objects.values());
        this.publisher.notify();
      },
    }));
    this.#runners = this.#resources.use(ObjectFollower.create({
      ...options,
      name: "runners",
      source: options.runners,
      getWatchMs: () => this.#getWatchMs(),
      getMaxBackoffMs: () => this.#getMaxBackoffMs(),
      keepMissingMs: platform.keepMissingMs,
      resolveRestored: (_id, record) => options.resolveRunner(record),
      onObjects: (objects) => {
        options.onRunners(objects);
        this.publisher.notify();
      },
    }));
    this.#evacuations = this.#createEvacuations();
    const followers = [this.#declarations, this.#runners, this.#evacuations];
    this.#followers = followers.filter((each) => each !== undefined);
    this.#news = this.#resources.use(this.#createFollower());
  }

  /** Creates a sync and starts to follow the store. */
  static create(options: StateSyncOptions): StateSync {
    return new StateSync(options);
  }

  /** Whether the store answered this gateway's last calls. */
  get isConnected(): boolean {
    return this.#followers.every(({ isConnected }) => isConnected);
  }

  /** Whether the state is recent enough for other gateways. */
  get isCurrent(): boolean {
    if (this.#news.role === "alone") return this.isConnected;
    return this.#getAgeMs() <= this.#limits.maxAgeMs;
  }

  /** Whether the state has to be sought elsewhere. */
  get isCutOff(): boolean {
    return this.#news.isReading ? !this.isConnected : !this.isCurrent;
  }

  /** Position of the store up to which the runners are known. */
  get runnersPosition(): StorePosition {
    return this.#runners.position;
  }

  /** Position of the store up to which evacuations are known, if any are. */
  get evacuationsPosition(): StorePosition | undefined {
    return this.#evacuations?.position;
  }

  /** How long before they came the last changes of evacuations may have been. */
  get evacuationsAgeMs(): number {
    return this.#evacuations?.ageAtChangeMs ?? Number.POSITIVE_INFINITY;
  }

  /** Lists the evacuations for another gateway. */
  listEvacuations(): ObjectNews<Evacuation> | undefined {
    return this.#evacuations?.listAll();
  }

  /** Applies the evacuations that another gateway has listed. */
  applyEvacuations(news: ObjectNews<Evacuation>): void {
    this.#evacuations?.applyNews(news);
  }

  /** Lists the runners for another gateway. */
  listRunners(): RunnerList {
    const { changes, keepMissingMs, position } = this.#runners.listAll();
    const runners = changes.flatMap(({ value }) => value ?? []);
    return { position, runners, keepMissingMs };
  }

  /** Applies the runners that another gateway has listed. */
  applyRunners(list: RunnerList): void {
    const { keepMissingMs, position, runners } = list;
    const changes = runners.map((value) => ({ name: value.id, value }));
    this.#runners.applyNews({
      position,
      isWhole: true,
      changes,
      keepMissingMs,
    });
  }

  /** State as written to a dump. */
  getSnapshot() {
    return {
      isConnected: this.isConnected,
      isCurrent: this.isCurrent,
      readsStore: this.#news.isReading,
      readerRole: this.#news.role,
    };
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#resources[Symbol.asyncDispose]();
  }

  #createEvacuations(): ObjectFollower<Evacuation> | undefined {
    const { settings: { platform } } = this.#options;
    if (platform.evacuationLimitMs === undefined) return undefined;
    return this.#resources.use(ObjectFollower.create({
      ...this.#options,
      name: "evacuations",
      source: this.#options.evacuations,
      getWatchMs: () => this.#getWatchMs(),
      getMaxBackoffMs: () => this.#getMaxBackoffMs(),
      // A restored store may lack an entry until its operator writes it again.
      keepMissingMs: platform.keepMissingMs,
      onObjects: (objects) => {
        this.#options.onEvacuations(objects.values());
        this.publisher.notify();
      },
    }));
  }

  /**
   * Gets how long a watch may wait: briefly where other gateways depend on it,
   * else as long as a dead connection may go unnoticed.
   */
  #getWatchMs(): number {
    const { listGateways, settings } = this.#options;
    const isAlone = listGateways().size > 0 && this.#news.role === "alone";
    return isAlone
      ? settings.platform.noticeSilenceMs * watchShare
      : this.#limits.watchMs;
  }

  /**
   * Gets the maximum pause between calls to a store that does not answer. One
   * that follows a reader learns of the store's return from it.
   */
  #getMaxBackoffMs(): number {
    return this.#news.role === "follower" ? followerBackoffMs : readerBackoffMs;
  }

  #createPublisher(): NewsPublisher {
    return NewsPublisher.create({
      timers: this.#options.timers,
      periodMs: this.#limits.linePeriodMs,
      isCurrent: () => this.isCurrent,
      getAgeMs: () => this.#getAgeMs(),
      selectNews: (positions) => this.#selectNews(positions),
    });
  }

  #createFollower(): NewsFollower {
    const { settings } = this.#options;
    return NewsFollower.create({
      ...this.#options,
      self: {
        name: settings.name,
        capacity: getHostCapacity(settings.host),
      },
      maxAgeMs: this.#limits.maxAgeMs,
      getAgeMs: () => this.#getAgeMs(),
      subscribe: (address, onLine) =>
        subscribeToNews({
          address,
          onLine,
          positions: {
            declarations: this.#declarations.position,
            runners: this.#runners.position,
            evacuations: this.#evacuations?.position,
          },
          silenceMs: this.#limits.silenceMs,
        }),
      onNews: (news, ageMs) => this.#applyNews(news, ageMs),
      onReadingChange: (isReading) => {
        for (const each of this.#followers) each.setPaused(!isReading);
      },
    });
  }

  #applyNews(news: News, ageMs: number): void {
    if (news.declarations !== undefined) {
      this.#declarations.applyNews(news.declarations);
    }
    if (news.runners !== undefined) this.#runners.applyNews(news.runners);
    if (news.evacuations !== undefined) this.applyEvacuations(news.evacuations);
    for (const each of this.#followers) each.confirm(ageMs);
  }

  #selectNews(positions: NewsPositions): News {
    const declarations = this.#declarations.selectNews(positions.declarations);
    const runners = this.#runners.selectNews(positions.runners);
    const evacuations = positions.evacuations &&
      this.#evacuations?.selectNews(positions.evacuations);
    return {
      ...(declarations === undefined ? {} : { declarations }),
      ...(runners === undefined ? {} : { runners }),
      ...(evacuations === undefined ? {} : { evacuations }),
    };
  }

  #getAgeMs(): number {
    return Math.max(...this.#followers.map((each) => each.getAgeMs()));
  }
}

/** Share of `noticeSilenceMs` that one watch may wait. */
const watchShare = 0.6;

/** Maximum pause between the calls of a reader in an outage of the store. */
const readerBackoffMs = 800;

/** The same for a gateway that follows a reader. */
const followerBackoffMs = 3200;
